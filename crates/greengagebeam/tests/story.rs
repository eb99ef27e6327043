//! What the logs of several processes say of one job.

use greengagebeam::LogStory;

#[test]
fn lines_of_several_logs_are_merged_by_time() {
    let mut story = LogStory::new("00000000000000aa");
    story.read(
        "one.log",
        "{\"timestamp\":\"T2\",\"event\":620,\"name\":\"TaskStarted\",\"run\":\"00000000000000aa.0.0.0#1\"}\n\
         {\"timestamp\":\"T1\",\"event\":600,\"name\":\"JobAdmitted\",\"job\":\"00000000000000ab\"}\n\
         not a log line of 00000000000000aa\n",
    );
    story.read(
        "two.log",
        "  1.5 front-1 {\"timestamp\":\"T1\",\"event\":606,\"name\":\"RequestAnswered\",\"job\":\"00000000000000aa\",\"took_ms\":7}\n",
    );
    assert_eq!(
        story.lines(),
        [
            "T1 1.5 front-1 606 RequestAnswered job=00000000000000aa took_ms=7",
            "T2 one.log 620 TaskStarted run=00000000000000aa.0.0.0#1",
        ]
    );
}
