/**
 * Quotas at the entry node: what a request takes out of the quota is given back exactly if no target has executed it;
 * otherwise an account would lose service that it is owed, or get more than its quota.
 */
import { expect } from "chai";
import type { HttpResponse } from "../../src/http/httpServer.ts";
import type { RequestHead } from "../../src/http/messageHead.ts";
import { Counters } from "../../src/mesh/counters.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import { Forwarder } from "../../src/mesh/forwarder.ts";
import { LatencySamples } from "../../src/mesh/latencySamples.ts";
import { KnownNode } from "../../src/mesh/nodeDirectory.ts";
import type { OutcomeListener } from "../../src/mesh/peerLink.ts";
import type { QuotaGate } from "../../src/mesh/quotaGate.ts";
import type { Outcome } from "../../src/mesh/types.ts";
import { AccountDirectory } from "../../src/policy/accounts.ts";
import { MAX_LEVEL } from "../../src/policy/admissionLevel.ts";
import { RetryBudget } from "../../src/policy/retryBudget.ts";
import { RouteDependencyMap } from "../../src/policy/routeDependencies.ts";
import { makeAccount, makeCall, makeConfig, makeRoute, makeRunner } from "../support/meshFixtures.ts";

/** Answers with `result`; after `waiting`, the test decides. */
class FakeQuotas implements QuotaGate {
    result: ReturnType<QuotaGate["acquire"]> = "admitted";
    taken = 0;
    waitMs = 40;
    decide: (isAdmitted: boolean) => void = () => undefined;

    acquire(_: unknown, onDecided: (isAdmitted: boolean) => void) {
        this.decide = isAdmitted => {
            if (isAdmitted) this.taken++;
            onDecided(isAdmitted);
        };
        if (this.result === "admitted") this.taken++;
        return this.result;
    }

    readonly giveBack = () => void this.taken--;
    readonly retryAfterMs = () => this.waitMs;
}

const OK: Outcome = { kind: "answer", status: 200, headers: "", body: Buffer.alloc(0) };
const REPORT = { cutoff: MAX_LEVEL, running: 0, queued: 0, limit: 20, serviceMs: 40, configVersion: 1 };

/** A forwarder with one other node, whose attempts the test ends. */
function createForwarder() {
    const quotas = new FakeQuotas();
    const counters = new Counters();
    const log: string[] = [];
    const route = makeRoute();
    const accounts = new AccountDirectory([
        { account: makeAccount({ ratePerS: 10, burst: 5 }), keys: ["key-a"] },
        { account: makeAccount({ name: "unlimited" }), keys: ["key-u"] },
    ], [route.priority]);
    const target = { id: "i", service: "s", state: "ready", slots: 20, bornAt: 1 } as const;
    const record = { name: "n", address: "127.0.0.1:1", dataCentre: "a", startedAt: 0, serial: 0, target };
    const node = new KnownNode(record, false, true);
    node.isConnected = true;
    const attempts: OutcomeListener[] = [];
    const forwarder = new Forwarder({
        config: () => makeConfig({ routesByHost: new Map([["h", [route]]]), accounts }),
        ownService: () => "own",
        directory: { nodesOfService: () => [node] } as never,
        runner: makeRunner({ port: 1, slots: 1 }),
        sendToNode: (_, __, listener) => {
            attempts.push(listener);
            return () => undefined;
        },
        onConfigVersion: () => undefined,
        dependencies: new RouteDependencyMap(),
        retryBudget: new RetryBudget({ ratio: 0, slack: 0, windowMs: 10_000 }),
        crashGuard: { admit: () => true, blockedForMs: () => 0 },
        isRefusingClients: () => false,
        counters,
        latencies: new LatencySamples(),
        log: new EventLog({ write: line => log.push(line) }),
        routeCalls: { callsBelow: () => new Map<string, number>() },
        onNewDependency: () => undefined,
        quotas,
    });
    const responses: HttpResponse[] = [];
    const send = (accountKey: string | undefined = "key-a", deadlineMs = 2000) => {
        const { req } = makeCall();
        const head: RequestHead = { ...req.head, accountKey, deadlineMs };
        return forwarder.handle({ ...req, head }, response => responses.push(response));
    };
    return { quotas, counters, log, attempts, responses, forwarder, send };
}

describe("quotas at the entry node", () => {
    it("charges a request that a target has answered, and no account without a limit", () => {
        const { quotas, attempts, responses, send } = createForwarder();
        send();
        attempts[0]!.onOutcome(OK, REPORT);
        expect(responses.map(({ status }) => status)).to.deep.equal([200]);
        expect(quotas.taken).to.equal(1);
        send("key-u");
        expect(quotas.taken).to.equal(1);
        expect(attempts.length).to.equal(2);
    });

    it("responds with 429 and the quota's Retry-After time, at most 0.3 of the time left", () => {
        const { quotas, counters, log, responses, send } = createForwarder();
        quotas.result = "refused";
        send();
        quotas.waitMs = 5000;
        send();
        expect(responses.map(({ status }) => status)).to.deep.equal([429, 429]);
        expect(responses[0]!.headers).to.contain("Retry-After: 0.040\r\n");
        expect(Number(/Retry-After: ([0-9.]+)/.exec(responses[1]!.headers)![1])).to.be.within(0.55, 0.6);
        expect(counters.accountRefusals.get("a")!.get("quota")).to.equal(2);
        expect(counters).to.include({ clientRequests: 2, clientRefusals: 2, clientServed: 0 });
        expect(JSON.parse(log.at(-1)!)).to.include({ event: "refused", account: "a", reason: "quota" });
        expect(log.join("")).not.to.contain("key-a");
    });

    it("gives back what a request has taken that is refused without having run, but not if it may have run", () => {
        const { quotas, attempts, responses, send } = createForwarder();
        send();
        attempts[0]!.onOutcome({ kind: "not-run", reason: "draining" }, REPORT);
        expect(quotas.taken).to.equal(0);
        send();
        attempts[1]!.onOutcome({ kind: "unknown", reason: "link-lost" }, undefined);
        send()!();
        expect(responses.map(({ status }) => status)).to.deep.equal([503, 502]);
        expect(quotas.taken).to.equal(2);
    });

    it("starts or refuses a waiting request when its quota is decided", () => {
        const { quotas, attempts, responses, forwarder, send } = createForwarder();
        quotas.result = "waiting";
        send();
        expect([attempts.length, forwarder.activeCount]).to.deep.equal([0, 1]);
        quotas.decide(true);
        expect([attempts.length, quotas.taken]).to.deep.equal([1, 1]);
        send();
        quotas.decide(false);
        expect(responses.map(({ status }) => status)).to.deep.equal([429]);
        expect(forwarder.activeCount).to.equal(1);
    });

    it("gives back what is granted after the caller has left or the deadline has passed", async () => {
        const { quotas, attempts, responses, forwarder, send } = createForwarder();
        quotas.result = "waiting";
        send()!();
        quotas.decide(true);
        expect(quotas.taken).to.equal(0);
        send("key-a", 20);
        await new Promise(resolve => setTimeout(resolve, 60));
        // The request has not run, so the caller is told so instead of getting 504.
        expect(responses.map(({ status }) => status)).to.deep.equal([503]);
        quotas.decide(true);
        expect([quotas.taken, attempts.length, forwarder.activeCount]).to.deep.equal([0, 0, 0]);
    });
});
