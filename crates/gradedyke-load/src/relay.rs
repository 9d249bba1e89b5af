//! Compares protocols for a token stream between two processes, such as from owner to entry.
//!
//! The same tokens are sent over loopback as a JSON-RPC subscription of jsonrpsee over
//! WebSocket, and as length-delimited frames in the body of one HTTP response, over HTTP/1.1
//! and over HTTP/2. Client and server run in this process, so the CPU time is that of both.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use gradedyke::wire::{Frame, Reader};
use gradedyke_http::server::{Config, Handler, Protocol, Server};
use gradedyke_http::{Body, Client, body, client};
use gradedyke_world::loopback_address;
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jsonrpsee::core::client::{Subscription, SubscriptionClientT};
use jsonrpsee::server::RpcModule;
use jsonrpsee::ws_client::WsClientBuilder;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use crate::instance::cpu_seconds;

/// Number of concurrent streams.
const STREAM_COUNT: usize = 64;
/// Text of each token.
const TOKEN_TEXT: &str = "council ";

/// Responds to each request with a stream of frames.
struct FrameHandler {
    tokens: usize,
}

#[async_trait]
impl Handler for FrameHandler {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        let (sender, body) = body::channel(2);
        let tokens = self.tokens;
        tokio::spawn(async move {
            for number in 0..tokens {
                let offset = (number * TOKEN_TEXT.len()) as u64;
                let Ok(bytes) = Frame::Text(offset, TOKEN_TEXT.to_owned()).encode() else {
                    return;
                };
                if sender.send(Ok(bytes)).await.is_err() {
                    return;
                }
                tokio::task::yield_now().await;
            }
        });
        Response::new(body)
    }
}

/// Measures frames in an HTTP response. Returns the values of [`measure`].
async fn measure_frames(tokens: usize, http2: bool) -> eyre::Result<(f64, f64)> {
    let config = Config {
        protocol: Protocol::Both,
        ..Config::default()
    };
    let server = Server::bind(loopback_address(), config).await?;
    let address = server.address()?;
    let stop = CancellationToken::new();
    tokio::spawn(server.serve(Arc::new(FrameHandler { tokens }), stop.clone()));
    let config = client::Config {
        http2,
        ..client::Config::default()
    };
    let client = Client::new(&config);
    let measured = measure(|| {
        let client = client.clone();
        async move {
            let request = client::build_request(Method::GET, address, "/", body::empty())?;
            let mut incoming = client.send(address, request).await?.into_body();
            let mut reader = Reader::new();
            let mut received = 0;
            while let Some(frame) = incoming.frame().await {
                if let Ok(data) = frame?.into_data() {
                    reader.feed(&data);
                }
                while reader.next()?.is_some() {
                    received += 1;
                }
            }
            Ok(received)
        }
    });
    let measured = measured.await?;
    stop.cancel();
    Ok(measured)
}

/// Measures a JSON-RPC subscription. Returns the values of [`measure`].
async fn measure_json_rpc(tokens: usize) -> eyre::Result<(f64, f64)> {
    let mut module = RpcModule::new(());
    module.register_subscription(
        "call",
        "token",
        "cancel",
        move |_, pending, _, _| async move {
            let sink = pending.accept().await?;
            for number in 0..tokens {
                let offset = number * TOKEN_TEXT.len();
                let message = serde_json::value::to_raw_value(&(offset, TOKEN_TEXT))?;
                sink.send(message).await?;
                tokio::task::yield_now().await;
            }
            Ok(())
        },
    )?;
    let server = jsonrpsee::server::Server::builder()
        .build(loopback_address())
        .await?;
    let url = format!("ws://{}", server.local_addr()?);
    let handle = server.start(module);
    let client = WsClientBuilder::default()
        .max_buffer_capacity_per_subscription(tokens + 1)
        .max_concurrent_requests(STREAM_COUNT * 2)
        .build(&url)
        .await?;
    let client = Arc::new(client);
    let measured = measure(|| {
        let client = client.clone();
        async move {
            let subscribing = client.subscribe("call", jsonrpsee::rpc_params![], "cancel");
            let mut subscription: Subscription<(usize, String)> = subscribing.await?;
            let mut received = 0;
            while received < tokens {
                let Some(token) = subscription.next().await else {
                    break;
                };
                token?;
                received += 1;
            }
            Ok(received)
        }
    });
    let measured = measured.await?;
    handle.stop()?;
    Ok(measured)
}

/// Runs [`STREAM_COUNT`] concurrent streams. Returns the tokens per second, and the CPU time per
/// token in microseconds.
async fn measure<F, G>(stream: F) -> eyre::Result<(f64, f64)>
where
    F: Fn() -> G,
    G: Future<Output = eyre::Result<usize>> + Send + 'static,
{
    let pid = std::process::id();
    let started = Instant::now();
    let cpu_before = cpu_seconds(pid)?;
    let streams: Vec<_> = (0..STREAM_COUNT).map(|_| tokio::spawn(stream())).collect();
    let mut tokens = 0;
    for stream in streams {
        tokens += tokio::time::timeout(Duration::from_secs(120), stream).await???;
    }
    let cpu_used = cpu_seconds(pid)? - cpu_before;
    let rate = tokens as f64 / started.elapsed().as_secs_f64();
    Ok((rate, cpu_used * 1e6 / tokens as f64))
}

/// Runs three rounds that measure each protocol. Sends fewer tokens if `short`.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let tokens = if short { 200 } else { 4_000 };
    let mut rounds = Vec::new();
    for _ in 0..3 {
        let (rpc, rpc_cpu) = measure_json_rpc(tokens).await?;
        let (http1, http1_cpu) = measure_frames(tokens, false).await?;
        let (http2, http2_cpu) = measure_frames(tokens, true).await?;
        rounds.push(json!({
            "json_rpc": { "tokens_per_second": rpc.round(), "cpu_us_per_token": rpc_cpu },
            "http1_frames": { "tokens_per_second": http1.round(), "cpu_us_per_token": http1_cpu },
            "http2_frames": { "tokens_per_second": http2.round(), "cpu_us_per_token": http2_cpu },
            "http1_to_json_rpc": http1 / rpc,
            "http2_to_json_rpc": http2 / rpc,
        }));
    }
    Ok(json!({
        "experiment": "relay", "streams": STREAM_COUNT, "tokens": tokens, "rounds": rounds
    }))
}
