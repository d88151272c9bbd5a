/** Client accounts over the path with real nodes: what targets and callers see, and that no key leaves the entry node. */
import { expect } from "chai";
import http from "node:http";
import { MetricsPage } from "../../src/mesh/metricsPage.ts";
import { safeParseLogLine, traceRequest } from "../../src/requestTrace.ts";
import { PlatformMesh, waitFor, wireAccount, wireConfig, wireRoute } from "../support/platformMesh.ts";

const PATHS = [
    wireRoute(),
    wireRoute({ name: "r-open", path_prefix: "/open/", allow_anonymous: true }),
    wireRoute({ name: "r-nested", path_prefix: "/nested/", service: "stock" }),
];

function configWith(version: number, accountNames: readonly string[]) {
    return { ...wireConfig(version, PATHS), tenants: accountNames.map(name => wireAccount(name)) };
}

describe("client accounts on the platform", () => {
    let mesh: PlatformMesh;

    beforeEach(() => {
        mesh = new PlatformMesh();
    });

    afterEach(() => mesh.stop());

    async function start(config: unknown = configWith(1, ["acme", "globex"])): Promise<void> {
        await mesh.start([
            { name: "edge", service: "stock" },
            { name: "shop-1", service: "shop", downstreamCall: { host: "shop.example", path: "/nested/" } },
        ], { config });
    }

    const receivedBy = (index: number, id: string) =>
        mesh.hosts[index]!.app.executed.find(request => request.id === id);
    const statusOf = async (path: string, id: string, headers: Record<string, string | string[]> = {}) =>
        (await mesh.hosts[0]!.send({ path, id, headers })).status;

    it("passes on the account's name, but neither keys nor names that clients send", async () => {
        await start();
        const forged = { "x-tenant-name": ["globex", "x"], "aPI-key": ["key-of-acme", "key-of-acme"] };
        expect(await statusOf("/safe/", "q1", forged)).to.equal(200);
        const { headers } = receivedBy(1, "q1")!;
        expect(headers["x-tenant-name"]).to.equal("acme");
        expect(headers).not.to.have.property("api-key");
        expect(receivedBy(0, "q1.1")!.headers).not.to.have.property("x-tenant-name");
        const two = { "Api-Key": ["key-of-acme", "key-of-globex"] };
        expect(await statusOf("/safe/", "q2", two)).to.equal(400);
        expect(receivedBy(1, "q2")).to.equal(undefined);
    });

    it("responds with 401 to an unknown or missing key, except on routes that allow it", async () => {
        await start();
        expect(await statusOf("/safe/", "q1")).to.equal(401);
        expect(await statusOf("/safe/", "q2", { "Api-Key": "key-of-nobody" })).to.equal(401);
        expect(await statusOf("/open/", "q3", { "X-Tenant-Name": "acme" })).to.equal(200);
        expect(await statusOf("/open/", "q4", { "Api-Key": "key-of-nobody" })).to.equal(200);
        expect(await statusOf("/open/", "q5", { "Api-Key": "key-of-globex" })).to.equal(200);
        expect(["q3", "q4", "q5"].map(id => receivedBy(1, id)!.headers["x-tenant-name"]))
            .to.deep.equal([undefined, undefined, "globex"]);
        expect([receivedBy(1, "q1"), receivedBy(1, "q2")]).to.deep.equal([undefined, undefined]);
        // Possibly a call whose run has just ended, for which 401 would be final.
        const { status, headers } = await mesh.hosts[0]!.send({ path: "/safe/", id: "ended.1" });
        expect([status, headers["x-refusal-reason"]]).to.deep.equal([503, "unknown-caller"]);
    });

    it("refuses a withdrawn key on a connection on which it was valid", async () => {
        await start();
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        const headers = { "Api-Key": "key-of-globex" };
        const [edge] = mesh.hosts;
        expect((await edge!.send({ path: "/safe/", id: "q1", agent, headers })).status).to.equal(200);
        mesh.store.putConfig(configWith(2, ["acme"]));
        await waitFor("version 2", () => edge!.node.meshNode.configVersion === 2);
        expect((await edge!.send({ path: "/safe/", id: "q2", agent, headers })).status).to.equal(401);
        agent.destroy();
    });

    it("drops keys and names of clients without accounts too, and responds with 503 without a configuration", async () => {
        await start(wireConfig(1, PATHS));
        const headers = { "Api-Key": "k", "X-Tenant-Name": "acme" };
        expect(await statusOf("/safe/", "q1", headers)).to.equal(200);
        expect(receivedBy(1, "q1")!.headers).not.to.have.any.keys("api-key", "x-tenant-name");
        const unconfigured = new PlatformMesh();
        await unconfigured.start([{ name: "edge", service: "stock" }], { isConfigured: false });
        const { status } = await unconfigured.hosts[0]!.send({ path: "/safe/", id: "q1", headers });
        await unconfigured.stop();
        expect(status).to.equal(503);
    });

    it("logs and counts refusals with the account, but without its key", async () => {
        await start();
        await statusOf("/safe/", "q1", { "Api-Key": "key-of-nobody" });
        mesh.hosts[1]!.app.mode = "shed";
        expect(await statusOf("/safe/", "q2", { "Api-Key": "key-of-acme" })).to.equal(503);
        const lines = mesh.hosts.flatMap(({ log }) => log);
        const { counters } = mesh.hosts[0]!.node.meshNode;
        expect(counters).to.include({ unauthorizedRequests: 1, clientRequests: 1, clientRefusals: 1 });
        expect(lines.join("")).to.contain("\"account\":\"acme\"");
        const metrics = await new MetricsPage(mesh.hosts[0]!.node.meshNode).render();
        expect(metrics).to.contain(
            "filbertspool_account_refusals_total{account=\"acme\",reason=\"target-shed\"} 1",
        );
        expect(metrics).to.contain("filbertspool_unauthorized_total 1");
        expect(lines.join("") + metrics).not.to.contain("key-of");
        const { outcome } = traceRequest("q1", lines.flatMap(line => safeParseLogLine(line) ?? []));
        expect(outcome).to.equal("refused by edge with status 401, not run: no valid key");
    });
});
