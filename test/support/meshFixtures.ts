/** Creates data plane objects for tests; fields that a test does not give get default values. */
import { lengthMatchesSeal, WIRE_HEADERS } from "../../platform/wireHeaders.ts";
import type { SendResponse } from "../../src/http/httpServer.ts";
import { createCall } from "../../src/mesh/call.ts";
import type { Call } from "../../src/mesh/call.ts";
import { Counters } from "../../src/mesh/counters.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import { LatencySamples } from "../../src/mesh/latencySamples.ts";
import { createTargetProtocol } from "../../src/mesh/protocol.ts";
import { Runner } from "../../src/mesh/runner.ts";
import type { ClientAccount, ForwardedRequest, MeshConfig, Route } from "../../src/mesh/types.ts";

export function makeRoute(fields: Partial<Route> = {}): Route {
    return {
        name: "r",
        pathPrefix: "/r/",
        isIdempotent: true,
        timeoutMs: 2000,
        latencyObjectiveMs: 1000,
        priority: 1,
        maxAttempts: 2,
        allowsAnonymous: false,
        services: [{ service: "s", weight: 1 }],
        ...fields,
    };
}

export function makeAccount(fields: Partial<ClientAccount> = {}): ClientAccount {
    return { name: "a", priority: 0, ratePerS: 0, burst: 0, ...fields };
}

export function makeConfig(fields: Partial<MeshConfig> = {}): MeshConfig {
    return {
        version: 1,
        routesByHost: new Map(),
        services: new Map(),
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 1 << 20,
            headerTimeoutMs: 3000,
            idleTimeoutMs: 15_000,
        },
        accounts: undefined,
        encoded: Buffer.alloc(0),
        ...fields,
    };
}

export interface CallFields {
    readonly id?: string;
    readonly headers?: string;
    readonly body?: string;
    readonly route?: Route;
    readonly isTraced?: boolean;
    readonly account?: ClientAccount;
    readonly respond?: SendResponse;
}

export function makeCall(
    {
        id = "q",
        headers = "",
        body = "",
        route = makeRoute(),
        isTraced = false,
        account,
        respond = () => undefined,
    }: CallFields = {},
): Call {
    const head = {
        method: "GET",
        path: "/r/",
        host: "h",
        requestId: id,
        deadlineMs: 2000,
        keepAlive: true,
        expectsContinue: false,
        accountKey: undefined,
        headers,
        framing: { kind: "length", bytes: body.length },
    } as const;
    return createCall({
        req: { head, body: Buffer.from(body) },
        route,
        service: "s",
        parent: undefined,
        account,
        isCallerUnknown: false,
        sharesPriority: false,
        isTraced,
        level: 130,
        startedAt: 0,
        deadlineAt: 2000,
        respond,
    });
}

export function makeForwardedRequest(fields: Partial<ForwardedRequest> = {}): ForwardedRequest {
    return {
        requestId: "q",
        service: "s",
        route: "r",
        callerService: "c",
        method: "GET",
        path: "/r/",
        headers: "",
        body: Buffer.alloc(0),
        isIdempotent: true,
        isNested: false,
        level: 130,
        leftMs: 2000,
        maxQueueMs: 300,
        ...fields,
    };
}

/** A runner for a target at a loopback port, which is ready with id `i` and service `s`. */
export function makeRunner(
    { port, slots, write = () => undefined }: {
        readonly port: number;
        readonly slots: number;
        readonly write?: (line: string) => void;
    },
): Runner {
    const runner = new Runner({
        host: "127.0.0.1",
        port,
        counters: new Counters(),
        latencies: new LatencySamples(),
        log: new EventLog({ write }),
        protocol: createTargetProtocol(WIRE_HEADERS, lengthMatchesSeal),
        entryCutoffOf: () => 1023,
        crashGuard: { onCrash: () => undefined, onAnswered: () => undefined },
        routeCalls: { observe: () => undefined },
        learnsCapacity: false,
    });
    runner.setTarget({ id: "i", service: "s", state: "ready", slots, bornAt: 1 });
    return runner;
}
