//! The room that all connections read into. One thread reads from one of them at a time, so that one room is
//! enough, and a connection that waits holds none.

use crate::net::pg::Framer;
use crate::net::socket::{uninterrupted, Call, SocketError};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// Bytes that are read at once.
pub const SIZE: usize = 64 * 1024;

/// The room.
pub struct ReadBuffer(RefCell<Box<[u8]>>);

impl ReadBuffer {
    /// A room, to be shared.
    pub fn new() -> Rc<ReadBuffer> {
        Rc::new(ReadBuffer(RefCell::new(vec![0; SIZE].into())))
    }

    /// Reads once, without waiting, and feeds the framer if there is one. Says how much came; nothing if it
    /// was not ready after all. A call that a signal interrupts is repeated.
    pub fn read(
        &self,
        mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
        framer: Option<&mut Framer>,
    ) -> Result<Option<usize>, SocketError> {
        let mut bytes = self.0.borrow_mut();
        match uninterrupted(Call::Read, || read(&mut bytes)) {
            Ok(count) => {
                framer.into_iter().for_each(|framer| framer.feed(&bytes[..count]));
                Ok(Some(count))
            }
            Err(SocketError::WouldBlock) => Ok(None),
            Err(error) => Err(error),
        }
    }
}
