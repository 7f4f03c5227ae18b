//! The procedures, one after the other.

use {
    crate::demo::Fleet,
    eyre::{OptionExt, Result, WrapErr, bail},
    serde_json::Value,
    settings::{ControlSettings, LoadSettings, OperatorSettings},
    std::{fs, net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Load before the first step and between two steps.
const BETWEEN: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(200);
const STATUS_LIMIT: Duration = Duration::from_secs(30);

/// The procedures, on a running fleet.
pub(crate) struct Steps<'a, 'b> {
    fleet: &'a mut Fleet<'b>,
    load: LoadSettings,
    operator: OperatorSettings,
    /// Where callers reach the router that gets killed.
    pub(crate) killed: SocketAddr,
}

impl<'a, 'b> Steps<'a, 'b> {
    pub(crate) fn new(fleet: &'a mut Fleet<'b>) -> Result<Steps<'a, 'b>> {
        let path = fleet.folder().path();
        let load: LoadSettings = settings::load(&path.join("load.toml"))?;
        let operator = settings::load(&path.join("jf.toml"))?;
        let killed = load.router.last().ok_or_eyre("drill: no router")?.listen;
        Ok(Steps { fleet, load, operator, killed })
    }

    /// Carries out all procedures.
    pub(crate) async fn run(&mut self) -> Result<()> {
        sleep(BETWEEN).await;
        self.drain_engine().await?;
        sleep(BETWEEN).await;
        self.restart_router().await?;
        sleep(BETWEEN).await;
        self.kill_leader().await?;
        sleep(BETWEEN).await;
        self.lose_disk().await?;
        sleep(BETWEEN).await;
        self.kill_router().await
    }

    async fn drain_engine(&mut self) -> Result<()> {
        let engine = self.load.engine.last().ok_or_eyre("drill: no engine")?.name.to_string();
        let started = Instant::now();
        let planned = self.jf(&["drain", &engine, "--json"]).await?;
        let plan = planned["plan"].as_str().ok_or_eyre("drill: jf drain printed no plan")?;
        self.jf(&["confirm", plan, "--json"]).await?;
        self.wait_for_status("the engine drains", |it| {
            let endpoints = it["endpoints"].as_array()?;
            let drained = endpoints.iter().find(|it| it["name"] == *engine)?;
            let state = drained["state"].as_str()?;
            state.starts_with("drain").then(|| state.to_owned())
        })
        .await?;
        note(&format!("{engine} drained by {plan}"), started);
        Ok(())
    }

    async fn restart_router(&mut self) -> Result<()> {
        let admin = self.load.router[0].admin;
        let started = Instant::now();
        self.fleet.stop("router-1").await?;
        note("router-1 ended in order", started);
        self.fleet.start_again("router-1", admin).await?;
        note("router-1 is ready again", started);
        Ok(())
    }

    async fn kill_leader(&mut self) -> Result<()> {
        let (name, admin) = self.replica(true).await?;
        let started = Instant::now();
        self.fleet.kill(&name).await?;
        let old = admin.to_string();
        let leader = self.wait_for_status("another leader", |it| {
            let leader = it["leader"].as_str()?;
            (leader != old).then(|| leader.to_owned())
        });
        let leader = leader.await?;
        note(&format!("{name}, the leader, killed; {leader} leads"), started);
        self.fleet.start_again(&name, admin).await?;
        note(&format!("{name} is ready again"), started);
        Ok(())
    }

    async fn lose_disk(&mut self) -> Result<()> {
        let (name, admin) = self.replica(false).await?;
        let started = Instant::now();
        let path = self.fleet.folder().path();
        let replica: ControlSettings = settings::load(&path.join(format!("{name}.toml")))?;
        self.fleet.stop(&name).await?;
        let data = path.join(replica.data);
        fs::remove_dir_all(&data).wrap_err_with(|| format!("drill: delete {}", data.display()))?;
        self.fleet.start_again(&name, admin).await?;
        note(&format!("{name} lost its data folder and votes again"), started);
        Ok(())
    }

    async fn kill_router(&mut self) -> Result<()> {
        let name = format!("router-{}", self.load.router.len());
        let admin = self.load.router[self.load.router.len() - 1].admin;
        let started = Instant::now();
        self.fleet.kill(&name).await?;
        self.fleet.start_again(&name, admin).await?;
        note(&format!("{name} killed and ready again"), started);
        Ok(())
    }

    /// Returns the name and admin address of the leader, or of a replica that does not lead.
    async fn replica(&mut self, leads: bool) -> Result<(String, SocketAddr)> {
        let leader = self.wait_for_status("a leader", |it| Some(it["leader"].as_str()?.to_owned()));
        let leader: SocketAddr = leader.await?.parse().wrap_err("drill: leader's address")?;
        let mut replicas = self.operator.control.iter().enumerate();
        let found = replicas.find(|it| (*it.1 == leader) == leads);
        let (at, admin) = found.ok_or_eyre("drill: jf.toml does not name such a replica")?;
        Ok((format!("control-{}", at + 1), *admin))
    }

    async fn wait_for_status<F>(&self, what: &str, seen: F) -> Result<String>
    where
        F: Fn(&Value) -> Option<String>,
    {
        let deadline = Instant::now() + STATUS_LIMIT;
        loop {
            let status = self.jf(&["status", "--json"]).await?;
            if let Some(seen) = seen(&status) {
                return Ok(seen);
            }
            if Instant::now() > deadline {
                bail!("drill: {what}: not seen within {STATUS_LIMIT:?}, last status {status}");
            }
            sleep(POLL).await;
        }
    }

    async fn jf(&self, args: &[&str]) -> Result<Value> {
        let text = self.fleet.command("jf", args).await?;
        serde_json::from_str(&text).wrap_err_with(|| format!("drill: what jf {args:?} printed"))
    }
}

fn note(what: &str, started: Instant) {
    println!("drill: {what}, after {:.1} s", started.elapsed().as_secs_f64());
}
