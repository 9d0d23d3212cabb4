//! Wrappers for values and futures of the single runtime thread, for libraries
//! that require `Send`.

use std::future::Future;

use futures_channel::oneshot;
use send_wrapper::SendWrapper;

/// A value that is used only on the runtime thread.
pub type Local<T> = SendWrapper<T>;

/// Marks a future of the runtime thread as `Send`.
///
/// The future panics if it is polled or dropped on another thread.
pub fn local<F: Future>(future: F) -> impl Future<Output = F::Output> + Send {
    SendWrapper::new(future)
}

/// Runs a future in its own task, which continues if the caller stops awaiting
/// the result.
///
/// Returns `None` if the task panicked.
pub async fn detached<T: 'static>(future: impl Future<Output = T> + 'static) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    let task = async move {
        let _ = sender.send(future.await);
    };
    compio::runtime::spawn(task).detach();
    receiver.await.ok()
}
