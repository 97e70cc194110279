//! From a checked configuration to a dispatcher whose sockets are bound. Nothing is accepted before the first round.

use super::{Dispatcher, StartRetry};
use crate::cli::Common;
use crate::client::ClientFrontend;
use crate::clock::{Clock, WallClock};
use crate::config::{PeerAddresses, StartupConfig};
use crate::discovery::{self, EndpointDirectory};
use crate::engine::EnginePool;
use crate::guard::{Guard, GuardRules};
use crate::lifecycle::Phase;
use crate::operator_config::{check_against_settings, OperatorConfigErrors};
use crate::peers::Peers;
use crate::query_registry::{Event, QueryRegistry};
use crate::subsystems::fleet::{FleetService, FleetStartError};
use crate::subsystems::service_levels::{ResourceLimits, ServiceLevels};
use crate::subsystems::statement_classifier::StatementClassifier;
use crate::subsystems::zone_routing::ZoneRouting;
use crate::subsystems::Subsystems;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use tansymux::control::Control;
use tansymux::events::EndpointListKind;
use tansymux::pcg::Pcg;
use tansymux::settings::{Settings, SettingsError};
use tansymux_operator_config::Operator;

/// Sets the key of shapes' hashes apart from the other draws that start from the same seed.
const SHAPE_KEY_SALT: u64 = 0x5DEE_CE66_D1CE_B00C;

/// Why the program did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The operators' file does not go with the settings.
    #[error("the operators' file: {0}")]
    OperatorConfig(OperatorConfigErrors),
    /// The decisions cannot use the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The address for messages of other dispatchers cannot be bound.
    #[error("peer_listen {address}: {source}")]
    Peers {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The fleet's part cannot start.
    #[error(transparent)]
    Fleet(#[from] FleetStartError),
    /// The address for clients cannot be bound.
    #[error("listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

impl Dispatcher {
    /// Binds all sockets and starts the tasks beside the driver.
    ///
    /// # Errors
    /// The operators' file does not go with the settings, the settings cannot be used, or an address cannot be bound.
    pub fn start(
        config: StartupConfig,
        operator: &Operator,
        common: Common,
        executor: Rc<LocalExecutor<'static>>,
        retry: StartRetry,
    ) -> Result<Self, StartError> {
        check_against_settings(operator, &config.settings).map_err(StartError::OperatorConfig)?;
        let settings = Rc::new(Settings::read(&config.settings)?);
        let mut control = Control::new(config.seed, &config.settings)?;
        let clock = Clock::start();
        let guard = Guard::new(GuardRules::of(&settings));
        let registry = QueryRegistry::new(config.max_statement_bytes, guard, clock);
        let mut launcher = Launcher {
            clock,
            registry: Rc::new(registry),
            executor,
            retry,
            tasks: Vec::new(),
        };
        let engines = EnginePool::new(
            launcher.registry.clone(),
            launcher.clock,
            launcher.executor.clone(),
            config.connection_settings,
        );
        let mut subsystems = new_subsystems(&config, &settings);
        subsystems.reconfigure(operator, launcher.clock.now(), &mut control);
        let clients = Rc::new(ClientFrontend::new(
            launcher.registry.clone(),
            launcher.clock,
            config.admission,
            subsystems.statements.clone(),
            subsystems.levels.clone(),
            subsystems.zones.clone(),
        ));
        let peers = launcher.start_peers(config.peers)?;
        subsystems.fleet = launcher.start_fleet(operator, &settings, config.seed)?;
        let resolver = Rc::new(Cell::new(config.resolver));
        launcher.start_discovery(config.directory, resolver.clone(), config.seed);
        launcher.start_listener(&clients, config.listen)?;
        Ok(Dispatcher {
            phase: Phase::Starting,
            clock: launcher.clock,
            registry: launcher.registry,
            control,
            clients,
            engines,
            peers,
            subsystems,
            max_sockets: config.max_sockets,
            tasks: launcher.tasks,
            shutdown_grace_ms: config.shutdown_grace_ms,
            started_with: config.source,
            settings: config.settings,
            resolver,
            common,
            timer_ms: f64::INFINITY,
        })
    }
}

/// Starts the parts of the program that are tasks of their own.
struct Launcher {
    clock: Clock,
    registry: Rc<QueryRegistry>,
    executor: Rc<LocalExecutor<'static>>,
    retry: StartRetry,
    /// What was started so far.
    tasks: Vec<Task<()>>,
}

impl Launcher {
    fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.tasks.push(self.executor.spawn(task));
    }

    /// The exchange with other dispatchers, where the configuration has an address for it.
    fn start_peers(
        &mut self,
        addresses: Option<PeerAddresses>,
    ) -> Result<Option<Rc<Peers>>, StartError> {
        let Some(addresses) = addresses else {
            return Ok(None);
        };
        let address = addresses.listen;
        let registry = self.registry.clone();
        let socket = self
            .retry
            .run("peer_listen", || Async::<UdpSocket>::bind(address))
            .map_err(|source| StartError::Peers { address, source })?;
        let peers = Peers::new(registry, socket, addresses.each, addresses.all);
        self.spawn(peers.clone().listen());
        Ok(Some(peers))
    }

    /// The membership of a fleet, where the operators' file defines one.
    fn start_fleet(
        &mut self,
        operator: &Operator,
        settings: &Rc<Settings>,
        seed: u64,
    ) -> Result<Option<Rc<FleetService>>, StartError> {
        let registry = self.registry.clone();
        let definition = operator.fleet.as_ref();
        let bind = |address| {
            self.retry
                .run("fleet.listen", || Async::<UdpSocket>::bind(address))
        };
        let fleet = FleetService::start(definition, settings, self.clock, registry, seed, bind)?;
        if let Some(fleet) = &fleet {
            self.spawn(fleet.clone().run());
        }
        Ok(fleet)
    }

    /// Makes the configuration's endpoint list the first event, and follows the name service from there.
    fn start_discovery(
        &mut self,
        mut directory: EndpointDirectory,
        resolver: Rc<Cell<Option<SocketAddr>>>,
        seed: u64,
    ) {
        directory.set_wall_clock(WallClock::beside(self.clock));
        self.registry.push_event(Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: directory.endpoints(),
        });
        let registry = self.registry.clone();
        self.spawn(discovery::follow(
            registry,
            resolver,
            directory,
            seed as u16,
        ));
    }

    /// The socket for clients: the last that is bound, so that none connects to a program that does not start.
    fn start_listener(
        &mut self,
        clients: &Rc<ClientFrontend>,
        address: SocketAddr,
    ) -> Result<(), StartError> {
        let listener = self
            .retry
            .run("listen", || Async::<TcpListener>::bind(address))
            .map_err(|source| StartError::Listen { address, source })?;
        let executor = self.executor.clone();
        self.spawn(clients.clone().accept(listener, executor));
        Ok(())
    }
}

/// All subsystems, off.
fn new_subsystems(config: &StartupConfig, settings: &Rc<Settings>) -> Subsystems {
    let limits = ResourceLimits {
        memory_bytes: config.max_memory_bytes,
        descriptors: config.max_sockets,
    };
    let hash_key = shape_hash_key(config.seed);
    Subsystems {
        statements: Rc::new(StatementClassifier::new(
            settings,
            config.engine_warm_up_ms,
            hash_key,
        )),
        levels: Rc::new(ServiceLevels::new(settings, limits)),
        zones: Rc::new(ZoneRouting::new(settings)),
        fleet: None,
    }
}

/// A secret for the hashes of shapes, from the seed of this start.
fn shape_hash_key(seed: u64) -> [u8; 16] {
    let mut rng = Pcg::new(seed ^ SHAPE_KEY_SALT);
    std::array::from_fn(|_| rng.below(256) as u8)
}
