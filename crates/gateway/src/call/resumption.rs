//! Which software version may run a request that begins or resumes a stream.

use {
    super::Call,
    crate::{origins, rejection::Rejection},
    directory::BuildId,
    model::{MILLISECOND, hash64},
    origin::{Origin, Record, Resolution, StreamKey, Wanted},
};

impl Call {
    /// Returns the key of the stream that this request begins or resumes, if it has one.
    fn stream_key(&self) -> Option<StreamKey> {
        let head = &self.head;
        let first = if head.is_resumption { &head.resumes } else { &head.attempt_id };
        let team = self.team.as_deref().unwrap_or_default();
        Some(StreamKey::new(team, first.as_ref()?.as_bytes()))
    }

    /// If the client resumes a stream, finds the service and the software version that began it.
    pub(super) async fn find_origin(&mut self) -> Result<(), Rejection> {
        let route = self.found.route.clone();
        if !route.resumable || !self.head.is_resumption {
            return Ok(());
        }
        let max_age_ms = self.origin_ms();
        let wanted = Wanted { key: self.stream_key(), service: self.only_service(), max_age_ms };
        let (resolution, waited) = origins::find(&self.shared, wanted, self.deadline).await;
        let (origin, source) = match resolution {
            Resolution::Known { origin, source } => (origin, source),
            Resolution::Unknown { retry_ms } => {
                return Err(Rejection::UnknownOrigin { retry_ms });
            }
            Resolution::Unconfirmed { retry_at } => {
                let retry_ms = retry_at.since(self.shared.now()).div_ceil(MILLISECOND);
                return Err(Rejection::UnknownOrigin { retry_ms });
            }
            Resolution::Conflict => {
                return Err(Rejection::AmbiguousOrigin { retry_ms: max_age_ms });
            }
        };
        tracing::info!(
            event = "origin-found",
            request = self.head.id(),
            resumes = ?self.head.resumes,
            build = %origin.build,
            %source,
            after_ms = waited / MILLISECOND,
            "gateway: found the version that began the stream"
        );
        self.build = Some(origin.build);
        if hash64(self.found.service.name.as_bytes()) != origin.service {
            let mut services = route.split.iter().map(|it| &it.service);
            let name = services.find(|it| hash64(it.as_bytes()) == origin.service);
            let table = self.shared.table.load();
            let service = name.zip(table.as_ref()).and_then(|(name, table)| table.service(name));
            self.found.service = service.ok_or(Rejection::NoVersion)?.clone();
        }
        Ok(())
    }

    /// Records the software version that begins a resumable stream, before the client gets its
    /// first event.
    pub(super) async fn record_origin(&mut self, build: BuildId) {
        if !self.found.route.resumable {
            return;
        }
        self.build = Some(build);
        let Some(key) = self.stream_key() else { return };
        let service = hash64(self.found.service.name.as_bytes());
        let origin = Origin { service, build };
        let record = Record { key, origin, keep_ms: self.origin_ms() };
        origins::begin(&self.shared, record, self.only_service()).await;
    }

    /// Returns the hash of the only service that can have begun a stream of the route, if there is only
    /// one.
    fn only_service(&self) -> Option<u64> {
        let route = &self.found.route;
        let [only] = route.split.as_slice() else { return None };
        let key = (route.host.clone(), route.prefix.clone());
        let moved_at = self.shared.moved_routes.lock().get(&key).copied();
        let expires_at = moved_at.map(|it| it + self.origin_ms().saturating_mul(MILLISECOND));
        let is_moved = expires_at.is_some_and(|it| self.shared.now() < it);
        (!is_moved).then(|| hash64(only.service.as_bytes()))
    }

    /// Returns how long the origin of a stream may be asked for, in milliseconds: as long as the
    /// stream may last, and as long again for the client to resume it.
    fn origin_ms(&self) -> u64 {
        self.found.route.timeout_ms.saturating_mul(2)
    }
}
