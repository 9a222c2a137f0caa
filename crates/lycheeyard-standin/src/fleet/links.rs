use super::FleetError;
use crate::{Link, LinkState, ListStandin, StandinCluster};
use lycheeyard_protocol::{DataCentreId, Instance, InstanceRole};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

const LIST_LAG: Duration = Duration::from_millis(500);

/// The bytes that have passed over a fleet's links.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerTraffic {
    /// Both ways between entry processes and the store.
    pub store: u64,
    /// Both ways between entry processes and the instance lists.
    pub list: u64,
    /// Both ways between entry processes.
    pub peers: u64,
    /// Both ways between entry processes and workers.
    pub workers: u64,
}

/// The ways of each data centre to the platform and to all entry processes.
#[derive(Debug)]
pub(super) struct Links {
    views: BTreeMap<DataCentreId, View>,
}

/// What one data centre reaches, and through which links.
#[derive(Debug)]
struct View {
    store: Link,
    list_link: Link,
    list: ListStandin,
    peers: BTreeMap<String, PeerLink>,
    workers: Vec<Link>,
}

#[derive(Debug)]
struct PeerLink {
    home: DataCentreId,
    link: Link,
}

impl Links {
    /// Starts a list and links for each data centre of the stand-ins.
    pub async fn start(standins: &StandinCluster) -> Result<Self, FleetError> {
        let mut views = BTreeMap::new();
        for data_centre in &standins.data_centres {
            let list = ListStandin::start(LIST_LAG).await?;
            let mut workers = Vec::new();
            for mut instance in standins.list.present() {
                if instance.role == InstanceRole::Worker && instance.data_centre == data_centre.id {
                    let link = Link::start(instance.address).await?;
                    instance.address = link.address();
                    workers.push(link);
                }
                list.put(instance);
            }
            let view = View {
                store: Link::start(standins.store.address()).await?,
                list_link: Link::start(list.address()).await?,
                list,
                peers: BTreeMap::new(),
                workers,
            };
            views.insert(data_centre.id.clone(), view);
        }
        Ok(Self { views })
    }

    /// The address of the store as a data centre reaches it.
    pub fn store(&self, data_centre: &DataCentreId) -> SocketAddr {
        self.views[data_centre].store.address()
    }

    /// The address of the instance list as a data centre reaches it.
    pub fn list(&self, data_centre: &DataCentreId) -> SocketAddr {
        self.views[data_centre].list_link.address()
    }

    /// Lists an entry process for every data centre, each of which reaches it through a link.
    pub async fn list_entry(
        &mut self,
        instance: Instance,
        peer_address: SocketAddr,
    ) -> Result<(), FleetError> {
        for view in self.views.values_mut() {
            let link = Link::start(peer_address).await?;
            let mut seen = instance.clone();
            seen.peer_address = Some(link.address());
            let home = instance.data_centre.clone();
            view.peers
                .insert(instance.name.clone(), PeerLink { home, link });
            view.list.put(seen);
        }
        Ok(())
    }

    /// Takes an entry process off every list.
    pub fn forget(&mut self, name: &str) {
        for view in self.views.values_mut() {
            view.list.remove(name);
            view.peers.remove(name);
        }
    }

    /// Changes the way of a data centre to the store and to its list.
    pub fn set_platform(&self, data_centre: &str, state: LinkState) {
        self.set_store(data_centre, state);
        self.of(data_centre)
            .for_each(|(_, view)| view.list_link.set(state));
    }

    /// Changes the way of a data centre to the store.
    pub fn set_store(&self, data_centre: &str, state: LinkState) {
        self.of(data_centre)
            .for_each(|(_, view)| view.store.set(state));
    }

    /// Changes every way between the entry processes of a data centre and those of all others.
    pub fn set_peers(&self, data_centre: &str, state: LinkState) {
        self.set_outward_peers(data_centre, state);
        let others = self
            .views
            .iter()
            .filter(|(id, _)| id.as_str() != data_centre);
        let inward = others.flat_map(|(_, view)| view.peers.values());
        inward
            .filter(|peer| peer.home.as_str() == data_centre)
            .for_each(|peer| peer.link.set(state));
    }

    /// Changes the ways from a data centre to the entry processes of all others.
    pub fn set_outward_peers(&self, data_centre: &str, state: LinkState) {
        let outward = self
            .of(data_centre)
            .flat_map(|(_, view)| view.peers.values());
        outward
            .filter(|peer| peer.home.as_str() != data_centre)
            .for_each(|peer| peer.link.set(state));
    }

    /// The bytes passed until now.
    pub fn traffic(&self) -> PeerTraffic {
        let total = |link: &Link| link.bytes().forward + link.bytes().backward;
        let mut traffic = PeerTraffic::default();
        for view in self.views.values() {
            traffic.store += total(&view.store);
            traffic.list += total(&view.list_link);
            traffic.workers += view.workers.iter().map(total).sum::<u64>();
            traffic.peers += view
                .peers
                .values()
                .map(|peer| total(&peer.link))
                .sum::<u64>();
        }
        traffic
    }

    fn of<'a>(
        &'a self,
        data_centre: &'a str,
    ) -> impl Iterator<Item = (&'a DataCentreId, &'a View)> {
        self.views
            .iter()
            .filter(move |(id, _)| id.as_str() == data_centre)
    }
}
