use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. A panic of an earlier holder does not make its value unusable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
