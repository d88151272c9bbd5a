/**
 * Log lines of requests: each refusal, failure and retry is logged with its reason and the fields of the call or run,
 * and so is each step of a traced request. Of the header fields and the body, only the request id is logged. A stalled
 * reader of standard output does not block the process.
 */
import { expect } from "chai";
import { spawn } from "node:child_process";
import { CallLog } from "../../src/mesh/callLog.ts";
import { Counters } from "../../src/mesh/counters.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import { LoadLog } from "../../src/mesh/loadLog.ts";
import { RunLog } from "../../src/mesh/runLog.ts";
import { createTraceFilter } from "../../src/mesh/traceFilter.ts";
import type { FailureReason, RefusalReason } from "../../src/mesh/types.ts";
import { makeCall, makeForwardedRequest } from "../support/meshFixtures.ts";

const REFUSAL_REASONS: Readonly<Record<RefusalReason, true>> = {
    "no-config": true,
    "no-target": true,
    "draining": true,
    "target-down": true,
    "wrong-service": true,
    "wrong-instance": true,
    "overload": true,
    "failing-below": true,
    "queue-timeout": true,
    "target-shed": true,
    "link-down": true,
    "stopping": true,
    "crashes-targets": true,
    "memory": true,
    "deadline": true,
    "unknown-caller": true,
    "quota": true,
};
const FAILURE_REASONS: Readonly<Record<FailureReason, true>> = {
    "link-lost": true,
    "connection-lost": true,
    "bad-answer": true,
    "timeout": true,
    "caller-gone": true,
    "stopping": true,
};
/** Fields of every line about a call. `parent` and `last` are added only if the call has a parent or an attempt. */
const CALL_FIELDS = [
    "id",
    "route",
    "service",
    "level",
    "sends",
    "redirects",
    "configVersion",
    "tookMs",
    "leftMs",
];
const RUN_FIELDS = ["id", "service", "level", "cutoff", "running", "queued", "limit", "waitedMs"];
const LOAD_REPORT = { cutoff: 200, running: 3, queued: 1, limit: 4, serviceMs: 20, configVersion: 7 };

type LogLine = Readonly<Record<string, unknown>>;

function captureLog(): { log: EventLog; lines: () => readonly LogLine[]; rawLines: string[]; } {
    const raw: string[] = [];
    const log = new EventLog({
        write: line => raw.push(line),
        ratePerKind: 1000,
    });
    return { log, lines: () => raw.map(line => JSON.parse(line) as LogLine), rawLines: raw };
}

describe("request log", () => {
    it("logs the reason and the fields of each refused, failed, retried and not retried call", () => {
        const { log, lines } = captureLog();
        const callLog = new CallLog({ log, configVersion: () => 7 });
        const call = makeCall({ id: "q1" });
        const refusals = Object.keys(REFUSAL_REASONS) as RefusalReason[];
        const failures = Object.keys(FAILURE_REASONS) as FailureReason[];
        for (const reason of refusals) callLog.refused(call, reason, 200);
        for (const reason of failures) callLog.failed(call, reason);
        // Not covered here: `target-silent`, the reason of a hedge.
        for (const reason of [...refusals, ...failures, "answer-5xx"] as const) {
            callLog.retried(call, reason);
            callLog.notRetried(call, reason);
        }
        callLog.responded(call, 504);
        callLog.cancelled(call);
        const reasonsOf = (kind: string) =>
            lines().filter(line => line["event"] === kind).map(line => line["reason"]);
        expect(reasonsOf("refused")).to.deep.equal(refusals);
        expect(reasonsOf("failed")).to.deep.equal(failures);
        expect(reasonsOf("repeated")).to.deep.equal([...refusals, ...failures, "answer-5xx"]);
        expect(reasonsOf("not-repeated")).to.deep.equal([...refusals, ...failures, "answer-5xx"]);
        for (const line of lines()) expect(line).to.include.keys(CALL_FIELDS);
    });

    it("logs the fields of each refused, failed and cancelled run", () => {
        const { log, lines } = captureLog();
        const runLog = new RunLog(log, () => LOAD_REPORT);
        const run = {
            req: makeForwardedRequest({ requestId: "q1" }),
            isTraced: false,
            arrivedAt: 100,
            startedAt: 0,
        };
        for (const reason of Object.keys(REFUSAL_REASONS) as RefusalReason[]) {
            runLog.refused(run, 130, reason);
        }
        const startedRun = { ...run, startedAt: 120 };
        for (const reason of Object.keys(FAILURE_REASONS) as FailureReason[]) {
            runLog.ended(startedRun, 150, { kind: "unknown", reason });
        }
        runLog.cancelled(startedRun, 150);
        expect(lines().length).to.equal(
            Object.keys(REFUSAL_REASONS).length + Object.keys(FAILURE_REASONS).length + 1,
        );
        for (const line of lines()) expect(line).to.include.keys(RUN_FIELDS);
        expect(lines().at(0)).to.include({ waitedMs: 30 });
        expect(lines().at(-1)).to.include({ waitedMs: 20, atTargetMs: 30 });
    });

    it("logs each step of a traced request and its calls, and no other successful requests", () => {
        const { log, lines } = captureLog();
        const callLog = new CallLog({ log, configVersion: () => 7 });
        const runLog = new RunLog(log, () => LOAD_REPORT);
        const isTraced = createTraceFilter({ sampled: false, prefixes: ["traced"] });
        for (const id of ["traced-1", "traced-1.2", "plain"]) {
            const call = makeCall({ id, isTraced: isTraced(id) });
            const req = makeForwardedRequest({ requestId: id });
            const run = { req, isTraced: isTraced(id), arrivedAt: 100, startedAt: 110 };
            callLog.admitted(call);
            callLog.attemptStarted(call);
            runLog.started(run, 110);
            runLog.ended(run, 120, { kind: "answer", status: 200, headers: "", body: Buffer.alloc(0) });
            callLog.responded(call, 200);
        }
        const steps = ["admitted", "sent", "run-started", "run-ended", "answered"];
        expect(lines().map(line => line["id"])).to.not.include("plain");
        for (const id of ["traced-1", "traced-1.2"]) {
            expect(lines().filter(line => line["id"] === id).map(line => line["event"])).to.deep.equal(steps);
        }
    });

    it("logs the load of the target and the outcomes of client requests in each interval, also when idle", () => {
        const { log, lines } = captureLog();
        const counters = new Counters();
        const loadLog = new LoadLog({ log, counters, loadReport: () => LOAD_REPORT });
        const target = { id: "i-1", service: "s", state: "ready", slots: 4, bornAt: 1 } as const;
        loadLog.write(0, target);
        counters.clientRequests = 7;
        counters.clientRefusals = 2;
        counters.clientServed = 4;
        counters.runsStarted = 10;
        counters.runsWaitedMs = 55;
        counters.slotMs = 900;
        loadLog.write(1000, target);
        loadLog.write(2000, target);
        const [busy, idle] = lines();
        expect(busy).to.include({
            event: "load",
            service: "s",
            target: "i-1",
            cutoff: 200,
            limit: 4,
            serviceMs: 20,
            started: 10,
            meanWaitMs: 6,
            slotMs: 900,
            requests: 7,
            refused: 2,
            served: 4,
            overMs: 1000,
        });
        expect(idle).to.include({ started: 0, meanWaitMs: 0, slotMs: 0, requests: 0, refused: 0, served: 0 });
    });

    it("samples about one request in 128, together with its calls", () => {
        const isTraced = createTraceFilter();
        const ids = Array.from(
            { length: 20_000 },
            (_, index) => `${(index * 2654435761) >>> 0}`.padStart(16, "7"),
        );
        const traced = ids.filter(isTraced);
        expect(traced.length).to.be.within(20_000 / 128 / 2, 20_000 / 128 * 2);
        for (const id of traced) expect(isTraced(`${id}.3.1`), id).to.equal(true);
    });

    it("logs no body and no header field except the request id", () => {
        const { log, rawLines } = captureLog();
        const secret = "secret-of-the-client";
        const callLog = new CallLog({ log, configVersion: () => 7 });
        const runLog = new RunLog(log, () => LOAD_REPORT);
        const headers = `Authorization: ${secret}\r\n`;
        const call = makeCall({ id: "q2", headers, body: secret, isTraced: true });
        callLog.admitted(call);
        callLog.refused(call, "overload", 3);
        callLog.failed(call, "timeout");
        const req = makeForwardedRequest({ requestId: "q2", headers, body: Buffer.from(secret) });
        runLog.ended({ req, isTraced: true, arrivedAt: 1, startedAt: 2 }, 3, {
            kind: "unknown",
            reason: "bad-answer",
        });
        expect(rawLines.length).to.equal(4);
        expect(rawLines.join("")).to.not.contain(secret);
    });

    it("does not block when nobody reads standard output, and counts what it drops", async () => {
        const script = `
            import { EventLog } from "./src/mesh/eventLog.ts";
            const log = new EventLog({ ratePerKind: 1e9 });
            const lines = 20_000;
            for (let index = 0; index < lines; index++) {
                log.event("refused", { id: "q".repeat(200) });
                if (index % 100 === 0) await new Promise(resolve => setImmediate(resolve));
            }
            const isWritten = await log.flush();
            process.stderr.write("dropped " + (log.dropped > 0) + ", written " + isWritten);`;
        const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", script]);
        child.stdout.pause();
        const stderrText = await new Promise<string>(resolve => {
            child.stderr.once("data", chunk => resolve(String(chunk)));
        });
        child.kill("SIGKILL");
        expect(stderrText).to.equal("dropped true, written false");
    });
});
