/**
 * A target that writes an earlier response once more on a kept connection. The next request must get its own response,
 * and a repeated refusal must not be taken for a statement about a request that the target runs.
 */
import { expect } from "chai";
import net from "node:net";
import type { Runner } from "../../src/mesh/runner.ts";
import type { Outcome } from "../../src/mesh/types.ts";
import { freeListenerPort } from "../support/freePorts.ts";
import { makeForwardedRequest, makeRunner } from "../support/meshFixtures.ts";

/** What the target writes for each request, in the order in which the requests arrive. */
type Script = readonly ((id: string) => string)[];

const answer = (id: string | undefined, body: string) =>
    `HTTP/1.1 200 OK\r\n${idLine(id)}X-Response-Seal: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
const refusal = (id: string | undefined, status = 503) =>
    `HTTP/1.1 ${status} Refused\r\n${idLine(id)}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
const idLine = (id: string | undefined) => id === undefined ? "" : `X-Request-Id: ${id}\r\n`;

class Harness {
    readonly received: string[] = [];
    connectionCount = 0;
    private readonly server: net.Server;
    private readonly sockets = new Set<net.Socket>();
    private runner!: Runner;

    constructor(private readonly script: Script) {
        this.server = net.createServer(socket => {
            this.connectionCount++;
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", chunk => {
                const id = /X-Request-Id: (\S+)/.exec(chunk.toString())![1]!;
                this.received.push(id);
                socket.write(this.script[this.received.length - 1]!(id));
            });
        });
    }

    async start(): Promise<this> {
        const port = await freeListenerPort();
        await new Promise<void>(resolve => this.server.listen(port, "127.0.0.1", resolve));
        this.runner = makeRunner({ port, slots: 4 });
        return this;
    }

    stop(): void {
        this.runner.close();
        this.server.close();
        for (const socket of this.sockets) socket.destroy();
    }

    run(requestId: string, isIdempotent: boolean): Promise<Outcome> {
        const headers = `X-Request-Id: ${requestId}\r\n`;
        return new Promise(resolve => {
            this.runner.submit(makeForwardedRequest({ requestId, headers, isIdempotent }), {
                onDone: resolve,
                onSilent: () => undefined,
            });
        });
    }
}

const bodyOf = (outcome: Outcome) => outcome.kind === "answer" ? outcome.body.toString() : outcome.kind;

describe("a response repeated on a kept connection", () => {
    let harness: Harness;
    const start = async (script: Script) => harness = await new Harness(script).start();

    afterEach(() => harness.stop());

    for (const isIdempotent of [true, false]) {
        const kind = isIdempotent ? "an idempotent" : "a non-idempotent";

        it(`is not taken for the response to ${kind} request if it has an id`, async () => {
            await start([
                id => answer(id, "first"),
                id => answer("q1", "first") + answer(id, "second"),
            ]);
            expect(bodyOf(await harness.run("q1", isIdempotent))).to.equal("first");
            expect(bodyOf(await harness.run("q2", isIdempotent))).to.equal("second");
            expect(harness.connectionCount).to.equal(1);
        });

        it(`is not taken for the response to ${kind} request if it has no id`, async () => {
            await start([id => answer(id, "first"), id => answer(undefined, "first") + answer(id, "second")]);
            await harness.run("q1", isIdempotent);
            expect(await harness.run("q2", isIdempotent)).to.deep.equal({
                kind: "unknown",
                reason: "bad-answer",
            });
        });
    }

    for (const status of [503, 429, 421]) {
        it(`and a ${status} with an id are not taken for a refusal of the request that runs`, async () => {
            await start([id => refusal(id, status), id => refusal("q1", status) + answer(id, "done")]);
            expect((await harness.run("q1", false)).kind).to.equal("not-run");
            expect(bodyOf(await harness.run("q2", false))).to.equal("done");
        });

        it(`and a ${status} without an id do not make the request count as not run`, async () => {
            await start([id => answer(id, "first"), id => refusal(undefined, status) + answer(id, "done")]);
            await harness.run("q1", false);
            expect((await harness.run("q2", false)).kind).to.equal("unknown");
        });
    }

    it("does not count as not run on a new connection either, if it has no id", async () => {
        await start([() => refusal(undefined)]);
        expect((await harness.run("q1", false)).kind).to.equal("unknown");
    });
});
