//! Retries after refusals.

use crate::Error;

const MAX_RETRIES: u32 = 40;

/// Sends a request, and retries it after refusals with the outcome `not_run` and a retry delay.
///
/// # Errors
///
/// Any other error, or the last refusal.
pub async fn retry<T, F>(send: impl Fn() -> F) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let mut left = MAX_RETRIES;
    loop {
        match send().await {
            Err(error) if left > 0 && error.outcome() == "not_run" => {
                let Some(after) = error.retry_after() else { return Err(error) };
                left -= 1;
                tokio::time::sleep(after).await;
            }
            result => return result,
        }
    }
}
