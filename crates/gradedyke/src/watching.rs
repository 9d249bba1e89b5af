//! Keeps a watch of the key-value service open.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

/// Wait before a broken watch is opened again.
const PAUSE: Duration = Duration::from_millis(200);

/// Runs `watch`, which ends only when it is broken, again and again until
/// `stop`. `what` names it in the log.
pub(crate) async fn keep<F, G, E>(what: &'static str, stop: CancellationToken, watch: F)
where
    F: Fn() -> G,
    G: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let watching = async {
        loop {
            if let Err(error) = watch().await {
                tracing::warn!(event = "watch_broken", what, %error);
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::select! {
        () = watching => {}
        () = stop.cancelled() => {}
    }
}
