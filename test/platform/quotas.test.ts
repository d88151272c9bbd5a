/** Quotas of client accounts with real nodes and connections: the loss of a pool node, and messages from elsewhere. */
import { expect } from "chai";
import type { ClientAccount } from "../../src/mesh/types.ts";
import { PlatformMesh, waitFor, wireAccount, wireConfig } from "../support/platformMesh.ts";
import type { MeshHost } from "../support/platformMesh.ts";

const ACCOUNT: ClientAccount = { name: "acme", priority: 0, ratePerS: 40, burst: 20 };
const REQUEST_INTERVAL_MS = 10;

describe("quotas on platform nodes", () => {
    let mesh: PlatformMesh;

    beforeEach(async () => {
        mesh = new PlatformMesh();
        await mesh.start(["n1", "n2", "n3", "n4"].map(name => ({ name, service: "shop" })));
    });

    afterEach(() => mesh.stop());

    function limitAccounts(): void {
        const { name, ratePerS, burst } = ACCOUNT;
        const account = wireAccount(name, { rate_per_s: ratePerS, burst });
        mesh.store.putConfig({ ...wireConfig(2), tenants: [account] });
    }

    const poolNodeOf = ({ node }: MeshHost) => node.meshNode.quotas.poolStatuses()[0]?.poolNode;
    const delegatedShareOf = ({ node }: MeshHost) =>
        node.meshNode.quotas.poolStatuses()[0]?.delegatedShare ?? 0;
    const settle = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

    async function waitForDelegations(hosts: readonly MeshHost[], share: number): Promise<void> {
        await waitFor(
            "one pool node with all shares",
            () => hosts.some(host => delegatedShareOf(host) >= share),
        );
    }

    // Guards against quotas that are lost, or handed out twice, when the pool node is lost.
    it("keep serving within the bound when the pool node is killed", async () => {
        limitAccounts();
        await waitForDelegations(mesh.hosts, 0.99);
        const admittedAt: number[] = [];
        const admit = (isAdmitted: boolean) => {
            if (isAdmitted) admittedAt.push(performance.now());
        };
        const sender = setInterval(() => {
            for (const { node } of mesh.hosts) {
                if (node.meshNode.quotas.acquire(ACCOUNT, admit) === "admitted") admit(true);
            }
        }, REQUEST_INTERVAL_MS);
        await settle(2000);
        const killed = mesh.hosts.find(host => host.settings.nodeName === poolNodeOf(mesh.hosts[0]!))!;
        mesh.hosts.splice(mesh.hosts.indexOf(killed), 1);
        killed.app.stop();
        killed.node.close();
        await waitForDelegations(mesh.hosts, 0.74);
        const servedAgainFrom = performance.now();
        await settle(4000);
        clearInterval(sender);
        const { windowMs, overage, slack } = killed.settings.quotaBounds;
        const bound = (ACCOUNT.ratePerS * windowMs / 1000 + ACCOUNT.burst) * (1 + overage) + slack;
        for (const start of admittedAt) {
            const inWindow = admittedAt.filter(at => at >= start && at < start + windowMs).length;
            expect(inWindow).to.be.at.most(bound);
        }
        // Three of four shares are left. Half of their rate leaves room for a slow machine.
        const served = admittedAt.filter(at => at >= servedAgainFrom).length;
        expect(served).to.be.at.least(ACCOUNT.ratePerS * 4 * 0.75 / 2);
    });

    // Guards against messages of a broken node that change the pool.
    it("ignore malformed reports", async () => {
        limitAccounts();
        await waitForDelegations(mesh.hosts, 0.99);
        const { quotas } = mesh.hosts.find(host => delegatedShareOf(host) >= 0.99)!.node.meshNode;
        const before = quotas.poolStatuses();
        const valid: readonly unknown[] = ["n1", [1, 1], 1, 4, 1, 0, null, false, []];
        const invalidFields: readonly (readonly [number, unknown])[] = [
            [0, "unknown"],
            [3, Infinity],
            [4, 2],
            [5, 1],
            [7, 1],
            [8, [[0, -1, 0, 0, 0]]],
        ];
        for (const [index, value] of invalidFields) {
            expect(quotas.onReport(valid.with(index, value)), `field ${index}`).to.equal(null);
        }
        expect(quotas.onReport(undefined)).to.equal(null);
        expect(quotas.poolStatuses()[0]!.delegatedShare).to.equal(before[0]!.delegatedShare);
        expect(quotas.onReport(valid)).to.be.an("array");
    });

    it("are shown in the metrics of the pool node", async () => {
        limitAccounts();
        await waitForDelegations(mesh.hosts, 0.99);
        const { settings } = mesh.hosts.find(host => delegatedShareOf(host) >= 0.99)!;
        const page = await (await fetch(`http://127.0.0.1:${settings.metrics.port}/metrics`)).text();
        expect(page).to.contain("filbertspool_quota_share_delegated{pool=\"1/1\"} 1");
        expect(page).to.match(/filbertspool_quota_reports_received_total [1-9]/);
    });

    // Guards against a cost in deployments without accounts.
    it("send nothing while no account has a rate", async () => {
        await settle(600);
        for (const { node: { meshNode } } of mesh.hosts) {
            expect(meshNode.counters.quotaReportsSent).to.equal(0);
            expect(meshNode.quotas["timer"].isRunning).to.equal(false);
        }
    });
});
