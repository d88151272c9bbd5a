/**
 * The stand-in for callers: a retry with another key or an outcome that is not counted would make the results of load
 * tests wrong.
 */
import { expect } from "chai";
import { fastify } from "fastify";
import type { AddressInfo } from "node:net";
import { Caller } from "../src/standins/caller.ts";

describe("stand-in for callers", () => {
    it("retries refused requests with the same key and counts each final outcome once", async () => {
        const attemptsByKey = new Map<unknown, number>();
        const server = fastify();
        const firstKeyExhausted = new Promise<void>(resolve => {
            server.post("/today", async (req, reply) => {
                const key = req.headers["idempotency-key"];
                const attempts = (attemptsByKey.get(key) ?? 0) + 1;
                attemptsByKey.set(key, attempts);
                // Every attempt with the first key is refused, but only the first attempt with any other key.
                const isFirstKey = key === [...attemptsByKey.keys()][0];
                if (isFirstKey && attempts === 3) resolve();
                const isRefused = attempts === 1 || isFirstKey;
                return isRefused
                    ? reply.code(503).send({ outcome: "not-run", reason: "level" })
                    : { ok: true };
            });
        });
        await server.listen({ host: "127.0.0.1", port: 0 });
        const { port } = server.server.address() as AddressInfo;
        const entries = [{ host: "127.0.0.1", port }];
        const caller = new Caller({
            entries,
            path: "/today",
            ratePerS: 50,
            maxRetries: 2,
            backoffMs: 1,
            withIdempotencyKeys: true,
        });
        caller.start();
        await firstKeyExhausted;
        await caller.stop();
        await server.close();
        const { requests, ok, resends, "not-run: level": refused } = caller.outcomes();
        expect(requests).to.equal(attemptsByKey.size);
        expect((ok ?? 0) + (refused ?? 0)).to.equal(requests);
        expect(resends).to.equal(
            [...attemptsByKey.values()].reduce((sum, attempts) => sum + attempts - 1, 0),
        );
        expect([...attemptsByKey.values()][0]).to.equal(3);
    });
});
