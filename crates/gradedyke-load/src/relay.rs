//! Ways to carry a token stream between two processes: the measurement behind
//! the choice for the hop from owner to entry.
//!
//! The same tokens go over loopback as a JSON-RPC subscription of jsonrpsee over
//! WebSocket, and as length-delimited frames in the body of one HTTP reply, over
//! HTTP/1.1 and over HTTP/2. Both ends run in this process; the processor time
//! is that of both together.

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

use crate::server::cpu;

/// Streams at a time.
const STREAMS: usize = 64;
/// A token's text.
const TOKEN: &str = "council ";

/// Serves streams of frames.
struct Frames {
    tokens: usize,
}

#[async_trait]
impl Handler for Frames {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        let (sender, body) = body::channel(2);
        let tokens = self.tokens;
        tokio::spawn(async move {
            for number in 0..tokens {
                let offset = (number * TOKEN.len()) as u64;
                let Ok(bytes) = Frame::Text(offset, TOKEN.to_owned()).encode() else {
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

async fn frames(tokens: usize, http2: bool) -> eyre::Result<(f64, f64)> {
    let config = Config {
        protocol: Protocol::Both,
        ..Config::default()
    };
    let server = Server::bind(loopback_address(), config).await?;
    let address = server.address()?;
    let stop = CancellationToken::new();
    tokio::spawn(server.serve(Arc::new(Frames { tokens }), stop.clone()));
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
            let mut got = 0;
            while let Some(frame) = incoming.frame().await {
                if let Ok(data) = frame?.into_data() {
                    reader.feed(&data);
                }
                while reader.next()?.is_some() {
                    got += 1;
                }
            }
            Ok(got)
        }
    });
    let measured = measured.await?;
    stop.cancel();
    Ok(measured)
}

async fn json_rpc(tokens: usize) -> eyre::Result<(f64, f64)> {
    let mut module = RpcModule::new(());
    module.register_subscription(
        "call",
        "token",
        "cancel",
        move |_, pending, _, _| async move {
            let sink = pending.accept().await?;
            for number in 0..tokens {
                let offset = number * TOKEN.len();
                let message = serde_json::value::to_raw_value(&(offset, TOKEN))?;
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
        .max_concurrent_requests(STREAMS * 2)
        .build(&url)
        .await?;
    let client = Arc::new(client);
    let measured = measure(|| {
        let client = client.clone();
        async move {
            let subscribing = client.subscribe("call", jsonrpsee::rpc_params![], "cancel");
            let mut subscription: Subscription<(usize, String)> = subscribing.await?;
            let mut got = 0;
            while got < tokens {
                let Some(token) = subscription.next().await else {
                    break;
                };
                token?;
                got += 1;
            }
            Ok(got)
        }
    });
    let measured = measured.await?;
    handle.stop()?;
    Ok(measured)
}

/// Runs the streams beside each other; returns tokens a second and processor
/// time for each token, in microseconds.
async fn measure<F, G>(stream: F) -> eyre::Result<(f64, f64)>
where
    F: Fn() -> G,
    G: Future<Output = eyre::Result<usize>> + Send + 'static,
{
    let own = std::process::id();
    let began = Instant::now();
    let before = cpu(own)?;
    let streams: Vec<_> = (0..STREAMS).map(|_| tokio::spawn(stream())).collect();
    let mut tokens = 0;
    for stream in streams {
        tokens += tokio::time::timeout(Duration::from_secs(120), stream).await???;
    }
    let spent = cpu(own)? - before;
    let rate = tokens as f64 / began.elapsed().as_secs_f64();
    Ok((rate, spent * 1e6 / tokens as f64))
}

/// Measures the three ways, in turns, three times over.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let tokens = if short { 200 } else { 4_000 };
    let mut rounds = Vec::new();
    for _ in 0..3 {
        let (rpc, rpc_cpu) = json_rpc(tokens).await?;
        let (one, one_cpu) = frames(tokens, false).await?;
        let (two, two_cpu) = frames(tokens, true).await?;
        rounds.push(json!({
            "json_rpc": { "tokens_per_second": rpc.round(), "cpu_us_per_token": rpc_cpu },
            "http1_frames": { "tokens_per_second": one.round(), "cpu_us_per_token": one_cpu },
            "http2_frames": { "tokens_per_second": two.round(), "cpu_us_per_token": two_cpu },
            "http1_to_json_rpc": one / rpc,
            "http2_to_json_rpc": two / rpc,
        }));
    }
    Ok(json!({ "experiment": "relay", "streams": STREAMS, "tokens": tokens, "rounds": rounds }))
}
