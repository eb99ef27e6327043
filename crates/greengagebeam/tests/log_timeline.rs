//! Merging the log lines of several processes about one job.

use greengagebeam::LogTimeline;

#[test]
fn add_log_merges_lines_of_several_logs_by_time() {
    let mut timeline = LogTimeline::new("00000000000000aa");
    timeline.add_log(
        "one.log",
        "{\"timestamp\":\"T2\",\"event\":620,\"name\":\"TaskStarted\",\"run\":\"00000000000000aa.0.0.0#1\"}\n\
         {\"timestamp\":\"T1\",\"event\":600,\"name\":\"JobAdmitted\",\"job\":\"00000000000000ab\"}\n\
         not a log line of 00000000000000aa\n",
    );
    timeline.add_log(
        "two.log",
        "  1.5 front-1 {\"timestamp\":\"T1\",\"event\":606,\"name\":\"RequestAnswered\",\"job\":\"00000000000000aa\",\"took_ms\":7}\n",
    );
    assert_eq!(
        timeline.lines(),
        [
            "T1 1.5 front-1 606 RequestAnswered job=00000000000000aa took_ms=7",
            "T2 one.log 620 TaskStarted run=00000000000000aa.0.0.0#1",
        ]
    );
}
