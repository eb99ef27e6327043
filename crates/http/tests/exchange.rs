//! A server and a client on loopback.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt as _, WriteExt as _},
    net::{Shutdown, TcpListener, TcpStream},
    task,
};
use ggb_http::{
    ClientLimits, HttpClient, HttpServer, Sent, ServerLimits, json_response, read_body,
    text_response,
};
use http_types::{Request, StatusCode};

const LIMIT_BYTES: usize = 1_000_000;
const DELAYED_ACKNOWLEDGEMENT_MS: u64 = 40;
const EXCHANGES: u64 = 50;

fn anywhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn echo() -> HttpServer {
    let handler = |mut request: Request| async move {
        match read_body(&mut request, LIMIT_BYTES).await {
            Ok(body) => text_response(StatusCode::Ok, String::from_utf8_lossy(&body)),
            Err(error) => json_response(StatusCode::BadRequest, &error.to_string()),
        }
    };
    HttpServer::bind(anywhere(), ServerLimits::default(), handler).await.expect("a port is free")
}

async fn raw(server: &HttpServer, bytes: &str) -> String {
    let mut stream = TcpStream::connect(server.local_addr()).await.expect("it listens");
    stream.write_all(bytes.as_bytes()).await.expect("it reads");
    stream.shutdown(Shutdown::Write).expect("it is open");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok();
    text
}

macro_rules! cases {
    ($($(#[doc = $doc:literal])+ $name:ident => $body:expr;)+) => {
        $($(#[doc = $doc])+ #[test] fn $name() { task::block_on($body) })+
    };
}

cases! {
    /// Large bodies arrive whole, over one kept connection.
    large_bodies_are_whole => async {
        let server = echo().await;
        let client = HttpClient::new(ClientLimits::default());
        for size in [1, 100, 65_536, 900_000] {
            let body = vec![b'x'; size];
            let reply = client.post(server.local_addr(), "/", body.clone(), 10_000).await.unwrap();
            assert_eq!(reply.body, body);
        }
        assert_eq!(server.connections(), 1);
    };

    /// No exchange waits for a delayed acknowledgement, as it would with Nagle's algorithm.
    no_exchange_stalls => async {
        let server = echo().await;
        let client = HttpClient::new(ClientLimits::default());
        let stalled = Duration::from_millis(EXCHANGES * DELAYED_ACKNOWLEDGEMENT_MS);
        let exchanges = async {
            for _ in 0..EXCHANGES {
                client.post(server.local_addr(), "/", b"{}".to_vec(), 10_000).await.unwrap();
            }
        };
        assert!(timeout(stalled, exchanges).await.is_ok());
    };

    /// A body that is too large or cut short is named as such.
    bad_bodies_are_named => async {
        let server = echo().await;
        let head = |length: usize| {
            format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n")
        };
        let cut = raw(&server, &format!("{}abc", head(10))).await;
        assert!(cut.contains("got 3 bytes of body, expected 10"), "{cut}");
        let large = raw(&server, &head(LIMIT_BYTES + 1)).await;
        assert!(large.contains("expected at most"), "{large}");
        let nonsense = raw(&server, "florists\r\n\r\n").await;
        assert!(nonsense.contains("400"), "{nonsense}");
    };

    /// A refused connection was certainly not sent; one that breaks off may have been.
    sent_is_told_apart => async {
        let client = HttpClient::new(ClientLimits::default());
        let listener = TcpListener::bind(anywhere()).await.unwrap();
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

    /// A connection that the peer has closed is not used again.
    closed_connections_are_replaced => async {
        let client = Arc::new(HttpClient::new(ClientLimits::default()));
        let server = echo().await;
        let addr = server.local_addr();
        client.post(addr, "/", b"{}".to_vec(), 10_000).await.unwrap();
        server.stop().await;
        let refused = client.post(addr, "/", b"{}".to_vec(), 10_000).await.unwrap_err();
        assert_eq!(refused.current_context().sent(), Sent::No);
    };

    /// Stopping waits for the request in progress and closes idle connections.
    stopping_cuts_nothing_off => async {
        let (enter, entered) = async_channel::bounded::<()>(1);
        let (release, released) = async_channel::bounded::<()>(1);
        let handler = move |_| {
            let (enter, released) = (enter.clone(), released.clone());
            async move {
                enter.send(()).await.ok();
                released.recv().await.ok();
                text_response(StatusCode::Ok, "\"late\"")
            }
        };
        let server = HttpServer::bind(anywhere(), ServerLimits::default(), handler).await.unwrap();
        let addr = server.local_addr();
        let idle = TcpStream::connect(addr).await.unwrap();
        let asking = task::spawn(async move {
            let client = HttpClient::new(ClientLimits::default());
            client.post(addr, "/", b"{}".to_vec(), 10_000).await
        });
        entered.recv().await.unwrap();
        let stopping = task::spawn(server.stop());
        release.send(()).await.unwrap();
        assert_eq!(asking.await.unwrap().body, b"\"late\"");
        stopping.await;
        drop(idle);
    };
}
