//! What sessions are owed, and what gateways tell each other of them.

use super::*;
use petrelgauge_sessions::{BulletinError, Counts, SessionTokens, Snapshot, Token, TokenError};

impl RequestTable {
    /// Whether the class of this place carries sessions.
    pub fn carries(&self, class: usize) -> bool {
        self.carrying.contains(&class)
    }

    /// Whether sessions are kept at all.
    pub fn keeps_sessions(&self) -> bool {
        !self.carrying.is_empty()
    }

    /// Puts what a client set into its wallet.
    pub fn set_tokens(&self, wallet: &mut SessionTokens, text: &str) -> Result<(), TokenError> {
        let keeper = self.keeper.as_ref().filter(|keeper| keeper.settings().tokens).ok_or(TokenError::Off)?;
        wallet.set(text, keeper.settings().secret)
    }

    /// The visit of a session, with what its client brought of it. An unusable token is an error.
    pub fn visit(
        &self,
        at: Time,
        group: GroupId,
        name: &str,
        tokens: &[&str],
    ) -> Result<Option<SessionRef>, TokenError> {
        let Some(keeper) = &self.keeper else { return Ok(None) };
        let key = keeper.key(group, name);
        let mut token: Option<Token> = None;
        for text in tokens {
            let read = keeper.take_token(self.hosts_now(at), text, key)?;
            token = Some(token.map_or(read, |known| known.join(read)));
        }
        Ok(Some(SessionRef { key, token }))
    }

    /// The token that goes with an answer to this session, where clients carry tokens.
    pub fn token(&self, now: Time, key: Key) -> Option<String> {
        self.keeper.as_ref()?.token(self.hosts_now(now), key)
    }

    /// Entries about other gateways' sessions.
    pub fn session_entries(&self) -> usize {
        self.keeper.as_ref().map_or(0, Keeper::entries)
    }

    /// Counts of the sessions and gaps in what others told, if they are kept.
    pub fn session_counts(&self) -> Option<(Counts, u64)> {
        self.keeper.as_ref().map(|keeper| (keeper.counts(), keeper.holes()))
    }

    /// The marks of this moment, if sessions are kept.
    pub fn snapshot(&self, now: Time, clean: bool) -> Option<Snapshot> {
        self.keeper.as_ref().map(|keeper| keeper.snapshot(self.hosts_now(now), clean))
    }

    /// A datagram of another instance came. Reads that wait may need less now.
    pub fn hear(&mut self, now: Time, bytes: &[u8]) -> Result<(), BulletinError> {
        let hosts_now = self.hosts_now(now);
        let RequestTable { keeper, open, queue, .. } = self;
        let Some(keeper) = keeper else { return Ok(()) };
        keeper.receive(hosts_now, bytes)?;
        for (request, open) in open.iter_mut() {
            let Some(SessionWatch { key, floor: Some(floor), .. }) = &mut open.watch else { continue };
            if let Some(less) = keeper.settle(hosts_now, *key, floor) {
                *floor = less;
                queue.push(Event::Floor { request: request.clone(), floor: less.need() });
            }
        }
        Ok(())
    }

    /// Datagrams for every other instance that are due now, and when to call again.
    pub fn tell(&mut self, now: Time) -> (Vec<Vec<u8>>, Option<Time>) {
        let hosts_now = self.hosts_now(now);
        let Some(keeper) = &mut self.keeper else { return (Vec::new(), None) };
        let told = keeper.tell(hosts_now);
        // Its next time by the own clock.
        (told, keeper.due().map(|due| due - (hosts_now - now)))
    }
}
