//! HTTP/1.1 server and client with limits, based on `async-h1`.
//!
//! # Overview
//!
//! `async-h1` parses and writes requests and responses on a stream. This crate adds the
//! limits that it lacks: on open connections, on the size of bodies and, in the client,
//! on the time to connect and to respond.
//!
//! * [`HttpServer::bind`] starts a server that passes requests to a [`Handler`].
//! * [`HttpClient`] reuses connections. Its errors distinguish a request that was not
//!   sent from one that the peer may have received, see [`Sent`].
//! * [`read_body`] reads a whole body and checks its length.
//!
//! Client and server disable Nagle's algorithm (`TCP_NODELAY`), since together with delayed
//! acknowledgements it would add about 40 ms to each request.

mod body;
mod client;
mod error;
mod server;

pub use crate::{
    body::{json_response, json_text_response, read_body},
    client::{ClientOptions, HttpClient, Reply},
    error::{HttpError, Sent},
    server::{ClientConnection, Handler, HttpServer, ServerLimits},
};
