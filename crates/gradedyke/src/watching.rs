//! Reopens watches of the key-value service after failures.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

/// Delay before a watch is reopened.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Runs `watch` repeatedly until `stop` is cancelled. A watch ends only when it
/// fails; `name` identifies it in the log.
pub(crate) async fn run_until_stopped<F, G, E>(
    name: &'static str,
    stop: CancellationToken,
    watch: F,
) where
    F: Fn() -> G,
    G: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let watch_loop = async {
        loop {
            if let Err(error) = watch().await {
                tracing::warn!(event = "watch_broken", what = name, %error);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    };
    tokio::select! {
        () = watch_loop => {}
        () = stop.cancelled() => {}
    }
}
