//! Tests of the server and the client over loopback connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{
    future::timeout,
    io::{ReadExt as _, WriteExt as _},
    net::{Shutdown, TcpListener, TcpStream},
    task,
};
use ggb_http::{
    ClientOptions, HttpClient, HttpServer, Sent, ServerLimits, json_response, json_text_response,
    read_body,
};
use http_types::{Method, Request, StatusCode};

const MAX_BODY_BYTES: usize = 1_000_000;
/// Time after which the system sends a delayed acknowledgement.
const DELAYED_ACKNOWLEDGEMENT_MS: u64 = 40;
const EXCHANGES: u64 = 50;
/// Number of stops that a test plays, since only some of them meet a connection.
const STOPS: u64 = 200;

/// Returns a loopback address with a port chosen by the system.
fn loopback_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a server that returns each request's body, or the error in reading it.
async fn start_echo_server() -> HttpServer {
    let handler = |mut request: Request| async move {
        match read_body(&mut request, MAX_BODY_BYTES).await {
            Ok(body) => json_text_response(StatusCode::Ok, String::from_utf8_lossy(&body)),
            Err(error) => json_response(StatusCode::BadRequest, &error.to_string()),
        }
    };
    HttpServer::bind(loopback_addr(), ServerLimits::default(), handler)
        .await
        .expect("a loopback port is free")
}

/// Sends `bytes` unchanged and returns what the server sends until it closes the connection.
async fn send_raw(server: &HttpServer, bytes: &str) -> String {
    let mut stream =
        TcpStream::connect(server.local_addr()).await.expect("the server accepts connections");
    stream.write_all(bytes.as_bytes()).await.expect("the server reads the request");
    stream.shutdown(Shutdown::Write).expect("the connection is open for writing");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok();
    text
}

/// Starts a server whose first connection goes silent after one response, and whose later ones
/// answer; returns its address.
async fn start_server_with_silent_connection() -> SocketAddr {
    let listener = TcpListener::bind(loopback_addr()).await.expect("a loopback port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    task::spawn(async move {
        let mut connections = Vec::new();
        for body in ["first", "later", "later"] {
            let (mut stream, _) = listener.accept().await.expect("a client connects");
            stream.read(&mut [0; 1_024]).await.expect("the client sends a request");
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{body}");
            stream.write_all(response.as_bytes()).await.expect("the client reads the response");
            connections.push(stream);
        }
    });
    addr
}

macro_rules! cases {
    ($($(#[doc = $doc:literal])+ $name:ident => $body:expr;)+) => {
        $($(#[doc = $doc])+ #[test] fn $name() { task::block_on($body) })+
    };
}

cases! {
    /// Bodies of up to 900 kB arrive whole, and all requests use one connection.
    large_bodies_arrive_whole_over_one_connection => async {
        let server = start_echo_server().await;
        let client = HttpClient::new(ClientOptions::default());
        for size in [1, 100, 65_536, 900_000] {
            let body = vec![b'x'; size];
            let reply = client.post(server.local_addr(), "/", body.clone(), 10_000).await.unwrap();
            assert_eq!(reply.body, body);
        }
        assert_eq!(server.open_connections(), 1);
    };

    /// No request waits for a delayed acknowledgement, as it would with Nagle's algorithm.
    requests_do_not_wait_for_delayed_acknowledgements => async {
        let server = start_echo_server().await;
        let client = HttpClient::new(ClientOptions::default());
        let stalled_duration = Duration::from_millis(EXCHANGES * DELAYED_ACKNOWLEDGEMENT_MS);
        let exchanges = async {
            for _ in 0..EXCHANGES {
                client.post(server.local_addr(), "/", b"{}".to_vec(), 10_000).await.unwrap();
            }
        };
        assert!(timeout(stalled_duration, exchanges).await.is_ok());
    };

    /// The error for a body that is too large or too short states the lengths, and a request
    /// that can't be parsed gets status 400.
    invalid_requests_are_rejected_with_the_reason => async {
        let server = start_echo_server().await;
        let head = |length: usize| {
            format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n")
        };
        let short = send_raw(&server, &format!("{}abc", head(10))).await;
        assert!(short.contains("got 3 bytes of body, expected 10"), "{short}");
        let large = send_raw(&server, &head(MAX_BODY_BYTES + 1)).await;
        assert!(large.contains("expected at most"), "{large}");
        let malformed = send_raw(&server, "florists\r\n\r\n").await;
        assert!(malformed.contains("400"), "{malformed}");
    };

    /// A request whose body never arrives ends with an error, so that the server can stop.
    request_is_given_up_when_its_connection_goes_silent_within_its_body => async {
        let server = start_echo_server().await;
        let mut silent = TcpStream::connect(server.local_addr()).await.unwrap();
        let part = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc";
        silent.write_all(part).await.unwrap();
        let mut response = [0; 12];
        silent.read_exact(&mut response).await.unwrap();
        assert_eq!(&response, b"HTTP/1.1 400");
        drop(silent);
        server.stop().await;
    };

    /// A request whose connection is refused counts as not sent; one whose connection breaks
    /// counts as possibly sent.
    errors_tell_whether_the_request_may_have_been_sent => async {
        let client = HttpClient::new(ClientOptions::default());
        let listener = TcpListener::bind(loopback_addr()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let closing = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read(&mut [0; 64]).await.unwrap();
        });
        let broken = client.post(addr, "/", b"{}".to_vec(), 10_000).await.unwrap_err();
        assert_eq!(broken.current_context().sent(), Sent::Maybe);
        closing.await;
        let refused = client.post(addr, "/", b"{}".to_vec(), 10_000).await.unwrap_err();
        assert_eq!(refused.current_context().sent(), Sent::No);
    };

    /// A request whose header can't be sent is an error, neither a panic nor a second header.
    header_that_can_not_be_sent_is_an_error => async {
        let client = HttpClient::new(ClientOptions::default());
        let server = start_echo_server().await;
        for value in ["uml\u{e4}ut", "new\r\nline: 1", "nul\0"] {
            let headers = [("expect-instance", value)];
            let sent = client.send_with_headers(
                server.local_addr(), Method::Post, "/", &headers, Vec::new(), 10_000,
            );
            assert_eq!(sent.await.unwrap_err().current_context().sent(), Sent::No, "{value:?}");
        }
    };

    /// A pooled connection that the peer has closed is not reused, so that the next request
    /// counts as not sent.
    request_after_the_server_stopped_counts_as_not_sent => async {
        let client = Arc::new(HttpClient::new(ClientOptions::default()));
        let server = start_echo_server().await;
        let addr = server.local_addr();
        client.post(addr, "/", b"{}".to_vec(), 10_000).await.unwrap();
        server.stop().await;
        let refused = client.post(addr, "/", b"{}".to_vec(), 10_000).await.unwrap_err();
        assert_eq!(refused.current_context().sent(), Sent::No);
    };

    /// A read on a connection that has gone silent is answered on a new one, long before its timeout.
    read_on_a_silent_connection_is_answered_on_a_new_one => async {
        let addr = start_server_with_silent_connection().await;
        let client = HttpClient::new(ClientOptions::default());
        assert_eq!(client.get(addr, "/", 6_000).await.unwrap().body, b"first");
        assert_eq!(client.get(addr, "/", 6_000).await.unwrap().body, b"later");
        assert_eq!(client.take_silent_peers(), [(addr, 1)]);
        assert_eq!(client.take_silent_peers(), []);
    };

    /// A poll on a silent connection is followed by a read on a new one before it times out.
    poll_on_a_silent_connection_is_answered_on_a_new_one => async {
        let addr = start_server_with_silent_connection().await;
        let client = HttpClient::new(ClientOptions::default());
        assert_eq!(client.get(addr, "/", 6_000).await.unwrap().body, b"first");
        let reply = client.long_poll(addr, ("/wait", "/"), 100, 6_000).await.unwrap();
        assert_eq!(reply.body, b"later");
        assert_eq!(client.take_silent_peers(), [(addr, 1)]);
    };

    /// A poll that the peer answers within its waiting time uses one connection.
    answered_poll_is_sent_once => async {
        let handler = |request: Request| async move {
            task::sleep(Duration::from_millis(100)).await;
            json_text_response(StatusCode::Ok, request.url().path())
        };
        let server =
            HttpServer::bind(loopback_addr(), ServerLimits::default(), handler).await.unwrap();
        let client = HttpClient::new(ClientOptions::default());
        let reply = client.long_poll(server.local_addr(), ("/wait", "/"), 100, 60_000).await;
        assert_eq!(reply.unwrap().body, b"/wait");
        assert_eq!(server.open_connections(), 1);
        assert_eq!(client.take_silent_peers(), []);
    };

    /// Stopping the server waits for the request in progress and closes idle connections.
    stop_waits_for_requests_and_closes_idle_connections => async {
        let (enter, entered) = async_channel::bounded::<()>(1);
        let (release, released) = async_channel::bounded::<()>(1);
        let handler = move |_| {
            let (enter, released) = (enter.clone(), released.clone());
            async move {
                enter.send(()).await.ok();
                released.recv().await.ok();
                json_text_response(StatusCode::Ok, "\"late\"")
            }
        };
        let server =
            HttpServer::bind(loopback_addr(), ServerLimits::default(), handler).await.unwrap();
        let addr = server.local_addr();
        let idle = TcpStream::connect(addr).await.unwrap();
        let asking = task::spawn(async move {
            let client = HttpClient::new(ClientOptions::default());
            client.post(addr, "/", b"{}".to_vec(), 10_000).await
        });
        entered.recv().await.unwrap();
        let stopping = task::spawn(server.stop());
        release.send(()).await.unwrap();
        assert_eq!(asking.await.unwrap().body, b"\"late\"");
        stopping.await;
        drop(idle);
    };

    /// A connection counts as open from the time at which it is accepted.
    stop_waits_for_requests_on_connections_that_were_just_accepted => async {
        for stop in 0..STOPS {
            let in_progress = Arc::new(AtomicUsize::new(0));
            let counter = Arc::clone(&in_progress);
            let handler = move |_| {
                let counter = Arc::clone(&counter);
                async move {
                    counter.fetch_add(1, Ordering::SeqCst);
                    task::sleep(Duration::from_millis(20)).await;
                    counter.fetch_sub(1, Ordering::SeqCst);
                    json_text_response(StatusCode::Ok, "\"late\"")
                }
            };
            let server =
                HttpServer::bind(loopback_addr(), ServerLimits::default(), handler).await.unwrap();
            let addr = server.local_addr();
            let asking = (0..4).map(|_| task::spawn(async move {
                let client = HttpClient::new(ClientOptions::default());
                client.post(addr, "/", b"{}".to_vec(), 10_000).await.is_ok()
            }));
            let asking: Vec<_> = asking.collect();
            task::sleep(Duration::from_micros(5 * stop)).await;
            server.stop().await;
            task::sleep(Duration::from_millis(5)).await;
            assert_eq!(in_progress.load(Ordering::SeqCst), 0, "requests after the stop");
            for asking in asking {
                asking.await;
            }
        }
    };
}
