//! Coming back after a refusal.

use crate::Error;

/// How often a caller comes back.
const MOST_RETURNS: u32 = 40;

/// Sends a request, and again after each refusal that says that it did not run
/// and when to come back.
///
/// # Errors
///
/// Any other fault, or the last refusal.
pub async fn retry<T, F>(send: impl Fn() -> F) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let mut left = MOST_RETURNS;
    loop {
        match send().await {
            Err(fault) if left > 0 && fault.outcome() == "not_run" => {
                let Some(after) = fault.retry_after() else { return Err(fault) };
                left -= 1;
                tokio::time::sleep(after).await;
            }
            end => return end,
        }
    }
}
