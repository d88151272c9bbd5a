/** The request path on the platform, with a stand-in store and targets: what callers and targets see on failures. */
import { expect } from "chai";
import { PlatformMesh, VIRTUAL_HOST, waitFor, wireConfig, wireRoute } from "../support/platformMesh.ts";
import { sendRequest } from "../support/standinTarget.ts";

describe("request path on the platform", () => {
    let mesh: PlatformMesh;

    beforeEach(() => {
        mesh = new PlatformMesh();
    });

    afterEach(() => mesh.stop());

    async function startEdgeAndShops(): Promise<void> {
        await mesh.start([
            { name: "edge", service: "stock" },
            { name: "shop-1", service: "shop" },
            { name: "shop-2", service: "shop" },
        ]);
    }

    const hostsThatRan = (id: string) =>
        mesh.hosts.filter(({ app }) => app.executed.some(request => request.id === id));

    it("forwards a request and its response unchanged apart from the platform's header fields", async () => {
        await startEdgeAndShops();
        const [edge] = mesh.hosts;
        const response = await edge!.send({ path: "/unsafe/x?y=z", id: "q1", method: "POST", body: "hello" });
        expect(response.status).to.equal(200);
        expect(response.headers["x-response-seal"]).to.equal("s");
        const [host] = hostsThatRan("q1");
        expect(response.body).to.equal(`${host!.app.id} handled q1`);
        expect(host!.app.executed[0]).to.include({ path: "/unsafe/x?y=z", caller: "stock", body: "hello" });
        expect(host!.app.executed[0]!.deadlineMs).to.be.within(1, 3000);
    });

    it("responds with 404 without a route and with 503 without a configuration", async () => {
        await mesh.start([{ name: "shop-1", service: "shop" }], { isConfigured: false });
        const [host] = mesh.hosts;
        expect((await host!.send({ path: "/safe/", id: "q1" })).status).to.equal(503);
        mesh.store.putConfig(wireConfig(1));
        await waitFor("configured", () => host!.node.meshNode.configVersion === 1);
        expect((await host!.send({ path: "/none/", id: "q2" })).status).to.equal(404);
    });

    it("retries an idempotent request at another target after a lost response", async () => {
        await startEdgeAndShops();
        const [edge, shop1] = mesh.hosts;
        shop1!.app.mode = "hang-up";
        for (let index = 0; index < 8; index++) {
            expect((await edge!.send({ path: "/safe/", id: `q${index}` })).status).to.equal(200);
        }
        expect(shop1!.app.executed.length).to.be.greaterThan(0);
    });

    it("runs a non-idempotent request only once and returns 502 if its response is lost or unusable", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const mode of ["hang-up", "truncate", "no-seal"] as const) {
            for (const { app } of shops) app.mode = mode;
            const response = await edge!.send({ path: "/unsafe/", id: mode, method: "POST", body: "b" });
            expect(response.status, mode).to.equal(502);
            expect(hostsThatRan(mode).length, mode).to.equal(1);
        }
    });

    it("retries a request at another target after a target has shed it", async () => {
        await startEdgeAndShops();
        const [edge, shop1, shop2] = mesh.hosts;
        shop1!.app.mode = "shed";
        for (let index = 0; index < 6; index++) {
            const response = await edge!.send({ path: "/unsafe/", id: `q${index}`, method: "POST" });
            expect(response.status).to.equal(200);
        }
        expect(shop2!.app.executed.length).to.equal(6);
    });

    it("refuses a request with Retry-After when all targets shed it", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "shed";
        const response = await edge!.send({ path: "/unsafe/", id: "q1", method: "POST" });
        expect(response.status).to.equal(503);
        expect(Number(response.headers["retry-after"])).to.be.within(0, 1);
        expect(hostsThatRan("q1")).to.deep.equal([]);
    });

    it("waits for a short time if no target is available", async () => {
        await mesh.start([{ name: "edge", service: "stock" }]);
        const response = mesh.hosts[0]!.send({ path: "/safe/", id: "q1" });
        await mesh.addHost({ name: "shop-1", service: "shop" });
        expect((await response).status).to.equal(200);
    });

    it("ignores a response to another request", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "stray";
        for (const id of ["q1", "q2", "q3"]) {
            expect((await edge!.send({ path: "/unsafe/", id, method: "POST" })).body).to.contain(
                `handled ${id}`,
            );
        }
    });

    it("sends no request to a target after its draining or deregistration is acknowledged", async () => {
        await startEdgeAndShops();
        const [edge, shop1, shop2] = mesh.hosts;
        expect(await shop1!.app.heartbeat("draining")).to.equal(200);
        await shop2!.app.deregister();
        const responses = await Promise.all(
            Array.from({ length: 6 }, (_, index) => edge!.send({ path: "/safe/", id: `q${index}` })),
        );
        expect(responses.map(({ status }) => status)).to.deep.equal(Array(6).fill(503));
        expect([...shop1!.app.executed, ...shop2!.app.executed]).to.deep.equal([]);
    });

    it("aborts an idempotent request when its caller disconnects", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "hold";
        const abort = new AbortController();
        const response = edge!.send({ path: "/safe/", id: "q1", signal: abort.signal }).catch(() => "error");
        await waitFor("running", () => hostsThatRan("q1").length === 1);
        abort.abort();
        expect(await response).to.equal("error");
        await waitFor("aborted", () => hostsThatRan("q1")[0]!.app.abortedIds.includes("q1"));
    });

    it("responds with 504 at the timeout of the route", async () => {
        const shortRoute = wireRoute({ timeout: "200ms" });
        await mesh.start([{ name: "shop-1", service: "shop" }], { config: wireConfig(1, [shortRoute]) });
        mesh.hosts[0]!.app.mode = "hold";
        expect((await mesh.hosts[0]!.send({ path: "/safe/", id: "q1" })).status).to.equal(504);
    });

    it("lets the calls of a request inherit its deadline", async () => {
        const routes = [
            wireRoute({ priority: 3, timeout: "500ms" }),
            wireRoute({ name: "r-stock", path_prefix: "/stock/", service: "stock", priority: 7 }),
        ];
        await mesh.start([
            { name: "shop-1", service: "shop", downstreamCall: { host: VIRTUAL_HOST, path: "/stock/" } },
            { name: "stock-1", service: "stock" },
        ], { config: wireConfig(1, routes) });
        const [shop, stock] = mesh.hosts;
        expect((await shop!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
        expect(stock!.app.executed.map(({ id }) => id)).to.deep.equal(["q1.1"]);
        expect(stock!.app.executed[0]!.deadlineMs).to.be.at.most(500);
    });

    it("applies only newer configurations, also after the store has deleted records", async () => {
        await startEdgeAndShops();
        const versions = () => mesh.hosts.map(({ node }) => node.meshNode.configVersion);
        mesh.store.putConfig(wireConfig(5));
        await waitFor("version 5", () => versions().every(version => version === 5));
        mesh.store.putConfig(wireConfig(3));
        mesh.store.append("keyed.op", { key: "config", value: Buffer.from("{\"version\":\"r9\"") });
        mesh.store.append("keyed.op", { key: "other", value: Buffer.from("x") });
        const isReported = () => mesh.hosts[0]!.log.some(line => line.includes("config-unreadable"));
        await waitFor("unreadable record logged", isReported);
        mesh.store.compact("keyed.op");
        mesh.store.putConfig(wireConfig(6));
        await waitFor("version 6", () => versions().every(version => version === 6));
    });

    it("sends a configuration to nodes that cannot reach the store", async () => {
        await startEdgeAndShops();
        const lateHost = await mesh.addHost({ name: "shop-3", service: "shop" });
        await mesh.waitForDiscovery();
        mesh.store.fault = "silent";
        // One node has the new version; the others can learn of it only from their peers.
        const [edge] = mesh.hosts;
        edge!.node.meshNode.applyConfig(Buffer.from(JSON.stringify(wireConfig(7))));
        await edge!.send({ path: "/safe/", id: "q1" });
        await lateHost.send({ path: "/safe/", id: "q2" });
        await waitFor("version 7", () => mesh.hosts.every(({ node }) => node.meshNode.configVersion === 7));
    });

    it("uses the local target of a restarted node again before its next heartbeat", async () => {
        await startEdgeAndShops();
        const [edge, shop1, shop2] = mesh.hosts;
        shop2!.app.stop();
        await shop2!.app.deregister();
        shop1!.node.close();
        await waitFor(
            "disconnected",
            () => edge!.node.meshNode.directory.get("shop-1")?.isConnected === false,
        );
        const { node } = await mesh.startNode(shop1!.settings);
        await waitFor("usable", () => edge!.node.meshNode.directory.get("shop-1")?.isUsable === true);
        expect((await edge!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
        node.close();
    });

    it("does not use a target again that was draining when its node exited", async () => {
        await startEdgeAndShops();
        const [edge, shop1] = mesh.hosts;
        await shop1!.app.heartbeat("draining");
        await waitFor(
            "stored",
            () => mesh.store.newest("keyed.filbertspool-nodes").get("shop-1")?.includes("draining") === true,
        );
        shop1!.node.close();
        await waitFor(
            "disconnected",
            () => edge!.node.meshNode.directory.get("shop-1")?.isConnected === false,
        );
        const { node } = await mesh.startNode(shop1!.settings);
        await waitFor("connected", () => edge!.node.meshNode.directory.get("shop-1")?.isConnected === true);
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(edge!.node.meshNode.directory.get("shop-1")?.isUsable).to.equal(false);
        node.close();
    });

    it("gets the configuration from peers after a restart while the store is unavailable", async () => {
        await startEdgeAndShops();
        const [edge, shop1] = mesh.hosts;
        mesh.store.fault = "busy";
        shop1!.node.close();
        const { node } = await mesh.startNode(shop1!.settings);
        await waitFor(
            "configured and connected",
            () => node.meshNode.configVersion === 1 && node.meshNode.directory.size === 3,
        );
        await shop1!.app.heartbeat();
        await waitFor("usable", () => edge!.node.meshNode.directory.get("shop-1")?.isUsable === true);
        node.close();
    });

    it("refuses requests that a stopping node might interrupt and completes the accepted ones", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "hold";
        const earlyResponse = edge!.send({ path: "/unsafe/", id: "early", method: "POST", deadlineMs: 8000 });
        await waitFor("running", () => hostsThatRan("early").length === 1);
        const stopped = edge!.node.stop();
        // A stopping node refuses client requests from 2900 ms after the stop signal.
        await new Promise(resolve => setTimeout(resolve, 2960));
        const lateResponse = await edge!.send({ path: "/unsafe/", id: "late", method: "POST" });
        expect(lateResponse.status).to.equal(503);
        expect(lateResponse.headers["x-refusal-reason"]).to.equal("stopping");
        expect(hostsThatRan("late")).to.deep.equal([]);
        for (const { app } of shops) app.releaseHeldResponses();
        expect((await earlyResponse).status).to.equal(200);
        await stopped;
    });

    it("reports each refusal and retry in the metrics and in the log", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "shed";
        await edge!.send({ path: "/unsafe/", id: "shed-1", method: "POST" });
        for (const { app } of shops) app.mode = "hang-up";
        await edge!.send({ path: "/unsafe/", id: "lost-1", method: "POST" });
        const { body } = await sendRequest({
            port: edge!.settings.metrics.port,
            host: VIRTUAL_HOST,
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

    it("completes all requests before a planned stop ends", async () => {
        await startEdgeAndShops();
        const [edge, shop1, shop2] = mesh.hosts;
        for (const { app } of [shop1!, shop2!]) app.mode = "hold";
        const responses = Array.from(
            { length: 6 },
            (_, index) => edge!.send({ path: "/unsafe/", id: `q${index}`, method: "POST" }),
        );
        await waitFor("all running", () => shop1!.app.executed.length + shop2!.app.executed.length === 6);
        const stopped = shop1!.node.stop();
        const readiness = await sendRequest({
            port: shop1!.settings.readiness.port,
            host: VIRTUAL_HOST,
            path: "/readiness",
            id: "x",
        });
        expect(readiness.status).to.equal(503);
        shop2!.app.mode = "healthy";
        await waitFor("unusable", () => edge!.node.meshNode.directory.get("shop-1")?.isUsable === false);
        expect((await edge!.send({ path: "/unsafe/", id: "q9", method: "POST" })).status).to.equal(200);
        expect((await shop1!.send({ path: "/unsafe/", id: "q10", method: "POST" })).status).to.equal(200);
        shop1!.app.releaseHeldResponses();
        shop2!.app.releaseHeldResponses();
        expect((await Promise.all(responses)).map(({ status }) => status)).to.deep.equal(Array(6).fill(200));
        await stopped;
    });

    it("completes all requests if the node is stopped twice", async () => {
        await startEdgeAndShops();
        const [edge, shop1, shop2] = mesh.hosts;
        for (const { app } of [shop1!, shop2!]) app.mode = "hold";
        const responses = Array.from(
            { length: 4 },
            (_, index) => edge!.send({ path: "/unsafe/", id: `q${index}`, method: "POST" }),
        );
        await waitFor("all running", () => shop1!.app.executed.length + shop2!.app.executed.length === 4);
        const first = shop1!.node.stop();
        const second = shop1!.node.stop();
        await new Promise(resolve => setTimeout(resolve, 50));
        shop1!.app.releaseHeldResponses();
        shop2!.app.releaseHeldResponses();
        expect((await Promise.all(responses)).map(({ status }) => status)).to.deep.equal(Array(4).fill(200));
        await Promise.all([first, second]);
    });

    it("uses the local target of a stopping node for a limited time only", async () => {
        await mesh.start([{ name: "edge", service: "stock" }, { name: "shop-1", service: "shop" }]);
        const [edge, shop1] = mesh.hosts;
        const stopped = shop1!.node.stop();
        expect((await edge!.send({ path: "/unsafe/", id: "q1", method: "POST" })).status).to.equal(200);
        await waitFor("unusable", () => edge!.node.meshNode.directory.get("shop-1")?.isUsable === false);
        expect((await edge!.send({ path: "/unsafe/", id: "q2", method: "POST" })).status).to.equal(503);
        await stopped;
        expect(shop1!.app.executed.map(({ id }) => id)).to.deep.equal(["q1"]);
    });

    it("hedges a request if its target is silent and uses the first successful response", async () => {
        await startEdgeAndShops();
        const [edge, shop1, shop2] = mesh.hosts;
        shop1!.app.mode = "hold";
        shop2!.app.mode = "hold";
        const response = edge!.send({ path: "/safe/", id: "q1" });
        await waitFor("running", () => hostsThatRan("q1").length === 1);
        const [firstHost] = hostsThatRan("q1");
        const otherHost = firstHost === shop1 ? shop2! : shop1!;
        otherHost.app.mode = "healthy";
        expect((await response).body).to.equal(`${otherHost.app.id} handled q1`);
        await waitFor("aborted", () => firstHost!.app.abortedIds.includes("q1"));
    });

    it("keeps waiting for a silent target if there is no other, also while the entry node stops", async () => {
        await mesh.start([{ name: "edge", service: "stock" }, { name: "shop-1", service: "shop" }]);
        const [edge, shop1] = mesh.hosts;
        shop1!.app.mode = "hold";
        const response = edge!.send({ path: "/safe/", id: "q1" });
        await waitFor("running", () => shop1!.app.executed.length === 1);
        const stopped = edge!.node.stop();
        // Longer than the time without a response after which a target is considered silent.
        await new Promise(resolve => setTimeout(resolve, 1200));
        shop1!.app.releaseHeldResponses();
        expect((await response).status).to.equal(200);
        expect(shop1!.app.abortedIds).to.deep.equal([]);
        await stopped;
    });
});
