/**
 * Clients that use what they are allowed, or more, must not make a node exceed the memory or the descriptors of its
 * host, which would end the process and every request in progress. The crowds and bounds were fixed from the limits of
 * the smallest host, before the product bounded what it holds.
 */
import { expect } from "chai";
import { Crowd } from "../support/crowd.ts";
import { buildPlatform, LimitedNodes, resourceUseOf } from "../support/limitedNodes.ts";
import type { LimitedNodesOptions } from "../support/limitedNodes.ts";

/** Limits of the smallest host. */
const MEMORY_MB = 250;
const MAX_FDS = 4100;
/** Descriptors of a host that are reserved for files. */
const RESERVED_FDS = 200;
const MB = 1_000_000;

describe("clients outside our control", function() {
    this.timeout(120_000);

    let nodes: LimitedNodes;
    let crowd: Crowd;

    before(() => buildPlatform());

    afterEach(async () => {
        crowd.close();
        await nodes.stop();
    });

    async function start(options: Partial<LimitedNodesOptions> = {}): Promise<void> {
        nodes = new LimitedNodes({ memoryMb: MEMORY_MB, maxFds: MAX_FDS, maxBodyBytes: 20 * MB, ...options });
        await nodes.start();
        crowd = new Crowd(nodes.entry.port);
    }

    /** Sends an ordinary request while the crowd is still connected, then checks both processes. */
    async function expectUnharmed({ maxFds = MAX_FDS }: { maxFds?: number; } = {}): Promise<void> {
        const response = await nodes.send("POST", "/upload/ordinary", "x".repeat(1000)).catch((
            err: unknown,
        ) => err);
        const uses = nodes.all.map(node => ({ name: node.name, use: resourceUseOf(node) }));
        const summary = JSON.stringify(uses);
        for (const { use } of uses) {
            expect(use, summary).not.equal(undefined);
            expect(use!.peakMb, summary).at.most(MEMORY_MB);
            expect(use!.fds, summary).at.most(maxFds - RESERVED_FDS);
        }
        expect(response, summary).property("status", 200);
    }

    it("send large bodies at once and stop one byte short, keeping the connections open", async () => {
        await start();
        const sentBytes = 20 * MB - 1;
        await Promise.all(Array.from({ length: 24 }, () => crowd.upload(20 * MB, { sentBytes })));
        await expectUnharmed();
    });

    it("send large bodies piece by piece, a few of them complete", async () => {
        await start();
        await Promise.all(Array.from({ length: 24 }, (_, index) => {
            const sentBytes = index < 4 ? 20 * MB : 20 * MB - 1;
            return crowd.upload(20 * MB, { sentBytes, isPiecewise: true });
        }));
        await expectUnharmed();
    });

    it("send complete large bodies at once", async () => {
        await start();
        await Promise.all(Array.from({ length: 12 }, () => crowd.upload(20 * MB)));
        await expectUnharmed();
    });

    it("announce bodies far over the limit, and send them", async () => {
        await start();
        await Promise.all(Array.from({ length: 24 }, () => crowd.upload(2000 * MB, { sentBytes: 30 * MB })));
        await expectUnharmed();
    });

    it("send chunked bodies far over the limit", async () => {
        await start();
        await Promise.all(Array.from({ length: 24 }, () => crowd.uploadChunked(30 * MB)));
        await expectUnharmed();
    });

    it("read long responses slowly", async () => {
        await start();
        for (let count = 0; count < 40; count++) await crowd.readSlowly(12 * MB);
        await expectUnharmed();
    });

    it("request many long responses at the same time and read them slowly", async () => {
        await start();
        await Promise.all(Array.from({ length: 40 }, () => crowd.readSlowly(12 * MB)));
        await expectUnharmed();
    });

    it("open more connections with incomplete heads than there are descriptors", async () => {
        const maxFds = 600;
        await start({ maxFds });
        await Promise.all(Array.from({ length: 700 }, () => crowd.sendPartialHead(8000)));
        await expectUnharmed({ maxFds });
    });

    it("send small bodies on many connections and stop one byte short", async () => {
        await start();
        const opts = { sentBytes: 63_999 };
        for (let round = 0; round < 38; round++) {
            await Promise.all(Array.from({ length: 100 }, () => crowd.upload(64_000, opts)));
        }
        await expectUnharmed();
    });

    it("send a single body of the maximum size, which is served", async () => {
        const bodyBytes = 64 * 1024 * 1024;
        await start({ maxBodyBytes: bodyBytes });
        const { status } = await nodes.send("PUT", "/upload/1", "x".repeat(bodyBytes));
        expect(status).equal(200);
        await expectUnharmed();
    });
});
