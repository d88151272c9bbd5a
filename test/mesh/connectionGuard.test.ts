/**
 * A refusal for lack of memory must keep its promise that the request has not run, a small request must be served
 * meanwhile, and everything that was counted must be released again. Load: bodies that stop one byte short.
 */
import { expect } from "chai";
import net from "node:net";
import { WIRE_HEADERS } from "../../platform/wireHeaders.ts";
import { HttpServer } from "../../src/http/httpServer.ts";
import { createHeadParsers } from "../../src/http/messageHead.ts";
import { steadyNow } from "../../src/mesh/clock.ts";
import { MemoryBudget } from "../../src/policy/memoryBudget.ts";
import { freeListenerPort } from "../support/freePorts.ts";
import { waitFor } from "../support/platformMesh.ts";

const { parseRequest } = createHeadParsers(WIRE_HEADERS);
const LIMITS = {
    maxHeadBytes: 4096,
    maxBodyBytes: 20_000_000,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
};
/** Twice as much as fits into the large part of the smallest budget. */
const STALLED_BODY_BYTES = 10_000_000;

interface Client {
    readonly socket: net.Socket;
    received: string;
    isClosed: boolean;
}

describe("connections that hold memory", () => {
    let server: HttpServer;
    let port: number;
    let budget: MemoryBudget;
    let clients: Client[];
    let handledPaths: string[];
    let sendHeldResponse: () => void;

    beforeEach(async () => {
        port = await freeListenerPort();
        budget = new MemoryBudget(1);
        clients = [];
        handledPaths = [];
        server = new HttpServer({
            host: "127.0.0.1",
            port,
            parseHead: parseRequest,
            limits: () => LIMITS,
            memory: budget,
            maxConnections: () => 3,
            isPipelinable: () => true,
            handler: ({ head }, sendResponse) => {
                handledPaths.push(head.path);
                if (head.path === "/held") {
                    sendHeldResponse = () =>
                        sendResponse({ status: 200, headers: "", body: Buffer.alloc(0) });
                    return undefined;
                }
                sendResponse({
                    status: 200,
                    headers: "",
                    body: Buffer.alloc(Number(head.path.slice(1)) || 0),
                });
                return undefined;
            },
        });
        await server.listen();
    });

    afterEach(() => {
        for (const { socket } of clients) socket.destroy();
        server.close();
    });

    function connect(text: string, bodyBytes = 0): Client {
        const client: Client = { socket: net.connect(port, "127.0.0.1"), received: "", isClosed: false };
        client.socket.on("data", chunk => client.received += chunk.toString("latin1"));
        client.socket.on("error", () => undefined).on("close", () => client.isClosed = true);
        client.socket.write(`${text}\r\nHost: h\r\nX-Request-Id: q\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
        clients.push(client);
        return client;
    }

    function sendIncomplete(path: string): Client {
        const client = connect(`PUT ${path} HTTP/1.1`, STALLED_BODY_BYTES);
        client.socket.write(Buffer.alloc(STALLED_BODY_BYTES - 1));
        return client;
    }

    it("get 503 without having run, once they stall, while small requests are served", async () => {
        const stalled = [sendIncomplete("/first"), sendIncomplete("/second")];
        await waitFor("the memory is used up", () => budget.requestRoom <= 0);
        const small = connect("GET /100 HTTP/1.1");
        await waitFor("the small request is served", () => small.received.startsWith("HTTP/1.1 200"));
        await waitFor("the stalled bodies are refused", () => {
            server.relieveMemory(steadyNow() + 5000);
            return stalled.every(({ received }) => received.startsWith("HTTP/1.1 503"));
        });
        for (const { received } of stalled) expect(received).match(/\r\nRetry-After: 1\r\n/);
        expect(handledPaths).deep.equal(["/100"]);
        expect(budget.largeBytes).equal(0);
    });

    // Guards against a connection that stops reading for ever: it held much because of an earlier request of its own, and
    // was no longer considered once that was answered.
    it("read a small pipelined request on once the large one before it has been answered", async () => {
        const bodyBytes = Math.ceil(budget.largeRequestLimit) + 1;
        const client = connect("PUT /held HTTP/1.1", bodyBytes);
        client.socket.write(Buffer.alloc(bodyBytes));
        await waitFor("the large request is handled", () => handledPaths.length === 1);
        client.socket.write("PUT /5 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 2\r\n\r\na");
        await waitFor("reading has stopped", () => budget.largeBytes > bodyBytes);
        sendHeldResponse();
        await waitFor("the memory is released", () => budget.largeBytes === 0);
        server.relieveMemory(steadyNow());
        client.socket.write("b");
        await waitFor("the small request is handled", () => handledPaths.length === 2);
    });

    it("are closed if they do not read a response that others need room for, and release it", async () => {
        const unread = connect("GET /19000000 HTTP/1.1");
        unread.socket.pause();
        await waitFor("the response is closed", () => budget.closedConnections === 1);
        unread.socket.resume();
        await waitFor("the connection is closed", () => unread.isClosed);
        await waitFor("its memory is released", () => budget.largeBytes === 0 && budget.smallBytes === 0);
    });

    it("are closed when there are too many, but not those with a response or a request of late", async () => {
        const incomplete = connect("GET / HTTP/1.1\r\nX-Part: 1");
        incomplete.socket.write("GET / HTTP/1.1\r\nX-");
        await waitFor("the first request is served", () => incomplete.received.includes("200"));
        const others = [connect("GET / HTTP/1.1"), connect("GET / HTTP/1.1")];
        await waitFor(
            "the others are served",
            () => others.every(({ received }) => received.includes("200")),
        );
        const latest = connect("GET / HTTP/1.1");
        await waitFor("the new one is served", () => latest.received.includes("200"));
        await waitFor("the incomplete one is closed", () => incomplete.isClosed);
        expect(others.map(({ isClosed }) => isClosed)).deep.equal([false, false]);
    });
});
