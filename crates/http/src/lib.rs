//! Bounded HTTP/1.1 server and pooled client on `async-h1`.
//!
//! # Overview
//!
//! `async-h1` turns a stream into requests and responses. What it leaves open is
//! bounded here: connections, bytes of a body, time to the first byte, idle time.
//!
//! * [`HttpServer::bind`] returns a running [`HttpServer`] that answers with a [`Handler`].
//! * [`HttpClient`] keeps idle connections by peer and tells apart a request that
//!   was certainly not sent from one that may have been, see [`Sent`].
//! * [`read_body`] reads a whole body or says what is wrong with it.
//!
//! Both sides switch off Nagle's algorithm: together with delayed acknowledgement
//! it costs each request some 40 ms.

mod body;
mod client;
mod error;
mod server;

pub use crate::{
    body::{json_response, read_body, text_response},
    client::{ClientLimits, HttpClient, Reply},
    error::{HttpError, Sent},
    server::{Handler, HttpServer, PeerConnection, ServerLimits},
};
