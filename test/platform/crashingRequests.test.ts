/**
 * Guards against BUDGET: a request that crashes the targets that run it comes again and again, and each time takes the
 * other requests of a target with it.
 */
import { expect } from "chai";
import { PlatformMesh, waitFor } from "../support/platformMesh.ts";
import type { MeshHost } from "../support/platformMesh.ts";

const TARGETS = ["shop-1", "shop-2", "shop-3", "shop-4"];

describe("a request that crashes targets", () => {
    let mesh: PlatformMesh;
    let edges: readonly MeshHost[];
    let shops: readonly MeshHost[];

    beforeEach(async () => {
        mesh = new PlatformMesh();
        await mesh.start([
            { name: "edge-1", service: "stock" },
            { name: "edge-2", service: "stock" },
            ...TARGETS.map(name => ({ name, service: "shop" })),
        ]);
        edges = mesh.hosts.slice(0, 2);
        shops = mesh.hosts.slice(2);
    });

    afterEach(() => mesh.stop());

    const crashCount = () => shops.reduce((sum, { app }) => sum + app.crashCount, 0);
    const crashReports = () =>
        mesh.hosts.map(({ log }) => log.filter(line => line.includes("target-crashed")).length);
    const reported = (count: number) =>
        waitFor(
            "reports of crashes",
            () => crashReports().reduce((sum, reports) => sum + reports, 0) === count,
        );
    const crashWith = (path: string) => shops.forEach(({ app }) => app.crashPath = path);
    const send = (from: MeshHost, path: string) =>
        from.send({ path, id: `q${Math.random()}`, method: "POST", body: "9999" });

    for (const kind of ["unsafe", "safe"] as const) {
        it(`is refused once it has crashed three (${kind}), at whichever node it arrives, and others are served`, async () => {
            const path = `/${kind}/group`;
            crashWith(path);
            for (let sent = 0; crashCount() < 3; sent++) await send(edges[sent % 2]!, path);
            const crashed = crashCount();
            await reported(crashed);
            for (const { app } of shops) if (app.crashCount > 0) await app.recover();
            await mesh.waitForDiscovery();
            for (const from of edges) {
                const answer = await send(from, path);
                expect([answer.status, answer.headers["x-refusal-reason"]]).to.deep.equal([
                    503,
                    "crashes-targets",
                ]);
                expect(Number(answer.headers["retry-after"])).to.be.greaterThan(10);
                expect((await send(from, `/${kind}/seat`)).status).to.equal(200);
            }
            expect(crashCount()).to.equal(crashed);
        });
    }

    it("is still refused after a restart of the node at which it arrives", async () => {
        const path = "/unsafe/group";
        crashWith(path);
        while (crashCount() < 3) await send(edges[0]!, path);
        await reported(3);
        edges[0]!.node.close();
        const { node } = await mesh.startNode(edges[0]!.settings);
        await waitFor(
            "connections",
            () => [...node.meshNode.directory.allNodes()].every(({ isConnected }) => isConnected),
        );
        await waitFor("the configuration", () => node.meshNode.configVersion === 1);
        await new Promise(resolve => setTimeout(resolve, 100));
        expect((await send(edges[0]!, path)).headers["x-refusal-reason"]).to.equal("crashes-targets");
        node.close();
    });

    it("is not assumed if targets crash, come back and answer the same requests, or leave as planned", async () => {
        const answers: Promise<unknown>[] = [];
        const sendSome = () => {
            for (let index = 0; index < 8; index++) answers.push(send(edges[index % 2]!, "/unsafe/seat"));
        };
        /** A target is avoided for a while after it failed, so several rounds of requests can be needed. */
        const holdRunAt = async (app: MeshHost["app"]) => {
            app.mode = "hold";
            app.executed.length = 0;
            for (let tries = 0; tries < 100 && app.executed.length === 0; tries++) {
                sendSome();
                await new Promise(resolve => setTimeout(resolve, 50));
            }
            expect(app.executed).to.not.deep.equal([]);
        };
        for (let round = 0; round < 4; round++) {
            const { app } = shops[round % 2]!;
            await holdRunAt(app);
            app.crash();
            app.mode = "healthy";
            await reported(round + 1);
            await app.recover();
            sendSome();
        }
        const { app } = shops[3]!;
        await holdRunAt(app);
        await app.heartbeat("draining");
        app.stop();
        await Promise.allSettled(answers);
        for (const from of edges) expect((await send(from, "/unsafe/seat")).status).to.equal(200);
        expect(crashReports().reduce((sum, reports) => sum + reports, 0)).to.equal(4);
        for (const { log } of mesh.hosts) {
            expect(log.filter(line => line.includes("request-blocked"))).to.deep.equal([]);
        }
    });

    it("is not assumed if a target closes single connections", async () => {
        shops.forEach(({ app }) => app.mode = "hang-up");
        for (let index = 0; index < 8; index++) await send(edges[0]!, "/unsafe/seat");
        shops.forEach(({ app }) => app.mode = "healthy");
        await new Promise(resolve => setTimeout(resolve, 300));
        expect(crashReports()).to.deep.equal([0, 0, 0, 0, 0, 0]);
        expect((await send(edges[0]!, "/unsafe/seat")).status).to.equal(200);
    });
});
