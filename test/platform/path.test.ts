/** The whole path on the platform, with stand-ins: what callers and targets see when parts fail. */
import { expect } from "chai";
import { HOST, PlatformMesh, until, wireConfig, wireRoute } from "../support/platformMesh.ts";
import { sendRequest } from "../support/standinApp.ts";

describe("path on the platform", () => {
    let mesh: PlatformMesh;

    beforeEach(() => {
        mesh = new PlatformMesh();
    });

    afterEach(() => mesh.stop());

    async function startShop(): Promise<void> {
        await mesh.start([
            { name: "edge", service: "stock" },
            { name: "shop-1", service: "shop" },
            { name: "shop-2", service: "shop" },
        ]);
    }

    const hostsThatRan = (id: string) =>
        mesh.hosts.filter(({ app }) => app.executed.some(seen => seen.id === id));

    it("passes a request and its answer on unchanged, with what the system adds", async () => {
        await startShop();
        const [edge] = mesh.hosts;
        const answer = await edge!.send({ path: "/unsafe/x?y=z", id: "q1", method: "POST", body: "hello" });
        expect(answer.status).to.equal(200);
        expect(answer.headers["x-response-seal"]).to.equal("s");
        const [host] = hostsThatRan("q1");
        expect(answer.body).to.equal(`${host!.app.id} answers q1`);
        expect(host!.app.executed[0]).to.include({ path: "/unsafe/x?y=z", caller: "stock", body: "hello" });
        expect(host!.app.executed[0]!.deadlineMs).to.be.within(1, 3000);
    });

    it("answers 404 without a route, and 503 without a configuration", async () => {
        await mesh.start([{ name: "shop-1", service: "shop" }], { isConfigured: false });
        const [host] = mesh.hosts;
        expect((await host!.send({ path: "/safe/", id: "q1" })).status).to.equal(503);
        mesh.store.putConfig(wireConfig(1));
        await until("configured", () => host!.node.node.configVersion === 1);
        expect((await host!.send({ path: "/none/", id: "q2" })).status).to.equal(404);
    });

    it("sends an idempotent request to another target after a lost answer", async () => {
        await startShop();
        const [edge, one] = mesh.hosts;
        one!.app.mode = "hang-up";
        for (let index = 0; index < 8; index++) {
            expect((await edge!.send({ path: "/safe/", id: `q${index}` })).status).to.equal(200);
        }
        expect(one!.app.executed.length).to.be.greaterThan(0);
    });

    it("never runs another request twice, and never says that it has not run", async () => {
        await startShop();
        const [edge, ...shops] = mesh.hosts;
        for (const mode of ["hang-up", "truncate", "no-seal"] as const) {
            for (const { app } of shops) app.mode = mode;
            const answer = await edge!.send({ path: "/unsafe/", id: mode, method: "POST", body: "b" });
            expect(answer.status, mode).to.equal(502);
            expect(hostsThatRan(mode).length, mode).to.equal(1);
        }
    });

    it("sends a request elsewhere that a target has turned away", async () => {
        await startShop();
        const [edge, one, two] = mesh.hosts;
        one!.app.mode = "shed";
        for (let index = 0; index < 6; index++) {
            const answer = await edge!.send({ path: "/unsafe/", id: `q${index}`, method: "POST" });
            expect(answer.status).to.equal(200);
        }
        expect(two!.app.executed.length).to.equal(6);
    });

    it("refuses with a time to come back when no target takes a request", async () => {
        await startShop();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "shed";
        const answer = await edge!.send({ path: "/unsafe/", id: "q1", method: "POST" });
        expect(answer.status).to.equal(503);
        expect(Number(answer.headers["retry-after"])).to.be.within(0, 1);
        expect(hostsThatRan("q1")).to.deep.equal([]);
    });

    it("waits a moment for a target when there is none", async () => {
        await mesh.start([{ name: "edge", service: "stock" }]);
        const sent = mesh.hosts[0]!.send({ path: "/safe/", id: "q1" });
        await mesh.addHost({ name: "shop-1", service: "shop" });
        expect((await sent).status).to.equal(200);
    });

    it("skips an answer to another request", async () => {
        await startShop();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "stray";
        for (const id of ["q1", "q2", "q3"]) {
            expect((await edge!.send({ path: "/unsafe/", id, method: "POST" })).body).to.contain(
                `answers ${id}`,
            );
        }
    });

    it("sends nothing to a target once its leaving is acknowledged", async () => {
        await startShop();
        const [edge, one, two] = mesh.hosts;
        expect(await one!.app.heartbeat("draining")).to.equal(200);
        await two!.app.leave();
        const answers = await Promise.all(
            Array.from({ length: 6 }, (_, index) => edge!.send({ path: "/safe/", id: `q${index}` })),
        );
        expect(answers.map(({ status }) => status)).to.deep.equal(Array(6).fill(503));
        expect([...one!.app.executed, ...two!.app.executed]).to.deep.equal([]);
    });

    it("ignores heartbeats that are late, forged or of an earlier start", async () => {
        await startShop();
        const [edge, one] = mesh.hosts;
        const url = `http://127.0.0.1:${one!.settings.heartbeats.port}/instances/${one!.app.id}`;
        const sendHeartbeat = (fields: object) => {
            const body = {
                service: "shop",
                address: `127.0.0.1:${one!.settings.target.port}`,
                slots: 20,
                state: "draining",
                sequence: 0,
                born: 1,
                ...fields,
            };
            return fetch(url, { method: "PUT", body: JSON.stringify(body) });
        };
        expect((await sendHeartbeat({})).status).to.equal(200);
        expect((await sendHeartbeat({ sequence: "9", born: Date.now() })).status).to.equal(400);
        expect((await sendHeartbeat({ service: "other", sequence: 9, born: Date.now() })).status).to.equal(
            400,
        );
        expect((await sendHeartbeat({ address: "127.0.0.1:1", sequence: 9, born: Date.now() })).status).to
            .equal(200);
        expect((await fetch(url, { method: "PUT", body: "{" })).status).to.equal(400);
        await mesh.settle();
        expect((await edge!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
    });

    it("breaks off an idempotent request when its caller leaves", async () => {
        await startShop();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "hold";
        const abort = new AbortController();
        const sent = edge!.send({ path: "/safe/", id: "q1", signal: abort.signal }).catch(() => "left");
        await until("it runs", () => hostsThatRan("q1").length === 1);
        abort.abort();
        expect(await sent).to.equal("left");
        await until("it is broken off", () => hostsThatRan("q1")[0]!.app.abortedIds.includes("q1"));
    });

    it("answers at the timeout of the route", async () => {
        const short = wireRoute({ timeout: "200ms" });
        await mesh.start([{ name: "shop-1", service: "shop" }], { config: wireConfig(1, [short]) });
        mesh.hosts[0]!.app.mode = "hold";
        expect((await mesh.hosts[0]!.send({ path: "/safe/", id: "q1" })).status).to.equal(504);
    });

    it("lets calls of a run inherit its priority and deadline", async () => {
        const routes = [
            wireRoute({ priority: 3, timeout: "500ms" }),
            wireRoute({ name: "r-stock", path_prefix: "/stock/", service: "stock", priority: 7 }),
        ];
        await mesh.start([
            { name: "shop-1", service: "shop", calls: { host: HOST, path: "/stock/" } },
            { name: "stock-1", service: "stock" },
        ], { config: wireConfig(1, routes) });
        const [shop, stock] = mesh.hosts;
        expect((await shop!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
        expect(stock!.app.executed.map(({ id }) => id)).to.deep.equal(["q1.1"]);
        expect(stock!.app.executed[0]!.deadlineMs).to.be.at.most(500);
    });

    it("puts a new configuration into force, never an older one, through lost history", async () => {
        await startShop();
        const versions = () => mesh.hosts.map(({ node }) => node.node.configVersion);
        mesh.store.putConfig(wireConfig(5));
        await until("version 5", () => versions().every(version => version === 5));
        mesh.store.putConfig(wireConfig(3));
        mesh.store.append("keyed.op", { key: "config", value: Buffer.from("{\"version\":\"r9\"") });
        mesh.store.append("keyed.op", { key: "other", value: Buffer.from("x") });
        const isReported = () => mesh.hosts[0]!.log.some(line => line.includes("config-unreadable"));
        await until("unreadable record seen", isReported);
        mesh.store.compact("keyed.op");
        mesh.store.putConfig(wireConfig(6));
        await until("version 6", () => versions().every(version => version === 6));
    });

    it("hands a configuration to a node that cannot reach the store", async () => {
        await startShop();
        const late = await mesh.addHost({ name: "shop-3", service: "shop" });
        await mesh.settle();
        mesh.store.fault = "silent";
        // A node that learns a version from its peers only.
        const [edge] = mesh.hosts;
        edge!.node.node.applyConfig(Buffer.from(JSON.stringify(wireConfig(7))));
        await edge!.send({ path: "/safe/", id: "q1" });
        await late.send({ path: "/safe/", id: "q2" });
        await until("version 7", () => mesh.hosts.every(({ node }) => node.node.configVersion === 7));
    });

    it("lets a restarted node use its target again before the next heartbeat", async () => {
        await startShop();
        const [edge, one, two] = mesh.hosts;
        two!.app.stop();
        await two!.app.leave();
        one!.node.close();
        await until("it is gone", () => edge!.node.node.directory.get("shop-1")?.isConnected === false);
        const { node } = await mesh.startNode(one!.settings);
        await until("it is back", () => edge!.node.node.directory.get("shop-1")?.isUsable === true);
        expect((await edge!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
        node.close();
    });

    it("does not use a target again that was leaving when its node ended", async () => {
        await startShop();
        const [edge, one] = mesh.hosts;
        await one!.app.heartbeat("draining");
        await until(
            "stored",
            () => mesh.store.newest("keyed.filbertspool-nodes").get("shop-1")?.includes("draining") === true,
        );
        one!.node.close();
        await until("it is gone", () => edge!.node.node.directory.get("shop-1")?.isConnected === false);
        const { node } = await mesh.startNode(one!.settings);
        await until("linked", () => edge!.node.node.directory.get("shop-1")?.isConnected === true);
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(edge!.node.node.directory.get("shop-1")?.isUsable).to.equal(false);
        node.close();
    });

    it("starts again from its peers while the store is down", async () => {
        await startShop();
        const [edge, one] = mesh.hosts;
        mesh.store.fault = "busy";
        one!.node.close();
        const { node } = await mesh.startNode(one!.settings);
        await until(
            "configured and connected",
            () => node.node.configVersion === 1 && node.node.directory.size === 3,
        );
        await one!.app.heartbeat();
        await until("usable", () => edge!.node.node.directory.get("shop-1")?.isUsable === true);
        node.close();
    });

    it("refuses requests that a stopping node might cut, and ends those that it took", async () => {
        await startShop();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "hold";
        const early = edge!.send({ path: "/unsafe/", id: "early", method: "POST", deadlineMs: 8000 });
        await until("it runs", () => hostsThatRan("early").length === 1);
        const stopped = edge!.node.stop();
        await new Promise(resolve => setTimeout(resolve, 2960));
        const late = await edge!.send({ path: "/unsafe/", id: "late", method: "POST" });
        expect(late.status).to.equal(503);
        expect(late.headers["x-refusal-reason"]).to.equal("stopping");
        expect(hostsThatRan("late")).to.deep.equal([]);
        for (const { app } of shops) app.release();
        expect((await early).status).to.equal(200);
        await stopped;
    });

    it("shows each refusal and repeat in the metrics and in the log", async () => {
        await startShop();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "shed";
        await edge!.send({ path: "/unsafe/", id: "shed-1", method: "POST" });
        for (const { app } of shops) app.mode = "hang-up";
        await edge!.send({ path: "/unsafe/", id: "lost-1", method: "POST" });
        const { body } = await sendRequest({
            port: edge!.settings.metrics.port,
            host: HOST,
            path: "/metrics",
            id: "x",
        });
        expect(body).to.contain("filbertspool_refused_total{reason=\"target-shed\"} 1");
        expect(body).to.contain("filbertspool_repeated_total{reason=\"target-shed\"} 1");
        expect(body).to.contain("filbertspool_failed_total{reason=\"connection-lost\"} 1");
        expect(body).to.contain("filbertspool_client_requests_total 2");
        expect(body).to.contain("filbertspool_client_refused_total 1");
        expect(body).to.contain("filbertspool_client_served_total 0");
        expect(body).to.contain("filbertspool_config_version 1");
        const lines = edge!.log.map(line => JSON.parse(line) as Record<string, unknown>);
        expect(lines.find(({ event }) => event === "refused")).to.include({
            id: "shed-1",
            route: "r-unsafe",
            service: "shop",
            reason: "target-shed",
            configVersion: 1,
        });
        expect(lines.find(({ event }) => event === "repeated")).to.include({
            id: "shed-1",
            reason: "target-shed",
        });
        expect(lines.find(({ event }) => event === "failed")).to.include({
            id: "lost-1",
            reason: "connection-lost",
        });
    });

    it("ends a planned stop without cutting a request", async () => {
        await startShop();
        const [edge, one, two] = mesh.hosts;
        for (const { app } of [one!, two!]) app.mode = "hold";
        const inProgress = Array.from(
            { length: 6 },
            (_, index) => edge!.send({ path: "/unsafe/", id: `q${index}`, method: "POST" }),
        );
        await until("all run", () => one!.app.executed.length + two!.app.executed.length === 6);
        const stopped = one!.node.stop();
        const readiness = await sendRequest({
            port: one!.settings.readiness.port,
            host: HOST,
            path: "/readiness",
            id: "x",
        });
        expect(readiness.status).to.equal(503);
        two!.app.mode = "well";
        await until("told", () => edge!.node.node.directory.get("shop-1")?.isUsable === false);
        expect((await edge!.send({ path: "/unsafe/", id: "q9", method: "POST" })).status).to.equal(200);
        expect((await one!.send({ path: "/unsafe/", id: "q10", method: "POST" })).status).to.equal(200);
        one!.app.release();
        two!.app.release();
        expect((await Promise.all(inProgress)).map(({ status }) => status)).to.deep.equal(Array(6).fill(200));
        await stopped;
    });

    it("cuts no request when the stop signal comes twice", async () => {
        await startShop();
        const [edge, one, two] = mesh.hosts;
        for (const { app } of [one!, two!]) app.mode = "hold";
        const inProgress = Array.from(
            { length: 4 },
            (_, index) => edge!.send({ path: "/unsafe/", id: `q${index}`, method: "POST" }),
        );
        await until("all run", () => one!.app.executed.length + two!.app.executed.length === 4);
        const first = one!.node.stop();
        const second = one!.node.stop();
        await new Promise(resolve => setTimeout(resolve, 50));
        one!.app.release();
        two!.app.release();
        expect((await Promise.all(inProgress)).map(({ status }) => status)).to.deep.equal(Array(4).fill(200));
        await Promise.all([first, second]);
    });

    it("still reaches the target beside a node that has just begun to stop, then no more", async () => {
        await mesh.start([{ name: "edge", service: "stock" }, { name: "shop-1", service: "shop" }]);
        const [edge, one] = mesh.hosts;
        const stopped = one!.node.stop();
        expect((await edge!.send({ path: "/unsafe/", id: "q1", method: "POST" })).status).to.equal(200);
        await until("told", () => edge!.node.node.directory.get("shop-1")?.isUsable === false);
        expect((await edge!.send({ path: "/unsafe/", id: "q2", method: "POST" })).status).to.equal(503);
        await stopped;
        expect(one!.app.executed.map(({ id }) => id)).to.deep.equal(["q1"]);
    });

    it("sends a request beside one that a silent target holds, and takes the first useful answer", async () => {
        await startShop();
        const [edge, one, two] = mesh.hosts;
        one!.app.mode = "hold";
        two!.app.mode = "hold";
        const answer = edge!.send({ path: "/safe/", id: "q1" });
        await until("runs", () => hostsThatRan("q1").length === 1);
        const [held] = hostsThatRan("q1");
        const other = held === one ? two! : one!;
        other.app.mode = "well";
        expect((await answer).body).to.equal(`${other.app.id} answers q1`);
        await until("broken off", () => held!.app.abortedIds.includes("q1"));
    });

    it("leaves a request at a silent target when it cannot be sent elsewhere, also when its node stops", async () => {
        await mesh.start([{ name: "edge", service: "stock" }, { name: "shop-1", service: "shop" }]);
        const [edge, one] = mesh.hosts;
        one!.app.mode = "hold";
        const answer = edge!.send({ path: "/safe/", id: "q1" });
        await until("runs", () => one!.app.executed.length === 1);
        const stopped = edge!.node.stop();
        // Longer than the silence after which a target counts as silent.
        await new Promise(resolve => setTimeout(resolve, 1200));
        one!.app.release();
        expect((await answer).status).to.equal(200);
        expect(one!.app.abortedIds).to.deep.equal([]);
        await stopped;
    });
});
