/**
 * Publishing a file set: a change must apply only once and be reported as accepted only when a node has it. An operator
 * whose change loses a race must learn which version won.
 */
import { expect } from "chai";
import { ControlReader } from "../src/controlReader.ts";
import { LogClient } from "../src/logClient.ts";
import type { LogRecord } from "../src/logRecords.ts";
import { NO_BASE } from "../src/logRecords.ts";
import { readNodeVersions } from "../src/nodeStatus.ts";
import type { PublishOptions } from "../src/publish.ts";
import { publish } from "../src/publish.ts";
import { NodeRuntime } from "../src/runtime.ts";
import { LogService } from "../src/standins/logService.ts";
import type { Address, Configuration } from "../src/types.ts";
import { freePort } from "./support/processes.ts";

const HOST = "127.0.0.1";

function createConfiguration(priority = 0): Configuration {
    const kind = { worth: 1, nonIdempotent: true, retries: 2, deadlineMs: 1_000, external: true };
    return {
        kinds: [{ name: "book", priority, ...kind }],
        services: [{ name: "booking", defaultKind: "book", calls: [], connections: 1 }],
        resendHorizonMs: 600_000,
        replacedServices: [],
    };
}

const freeAddress = async (): Promise<Address> => ({ host: HOST, port: await freePort() });

describe("publishing a file set", () => {
    const resources: { stop(): Promise<void>; }[] = [];
    afterEach(async () => {
        await Promise.all(resources.splice(0).map(resource => resource.stop()));
    });

    async function startLog(opts: { readonly retentionRecords?: number; } = {}) {
        const address = await freeAddress();
        const service = new LogService({ address, ...opts });
        await service.start();
        const url = `http://${HOST}:${address.port}`;
        const log = new LogClient(url);
        resources.push(service, { stop: () => log.close() });
        return { service, url, log };
    }

    async function startNode(logUrl: string): Promise<Address> {
        const [entry, peer, egress] = [await freeAddress(), await freeAddress(), await freeAddress()];
        const settings = { service: "booking", dataCentre: "a", entry, peer, egress, logUrl, join: [] };
        const node = new NodeRuntime({ settings, onExit: () => undefined });
        resources.push(node);
        await node.start();
        return peer;
    }

    /** Publishes and returns the printed lines, followed by the error message if publishing fails. */
    async function publishAndCollectLines(
        log: LogClient,
        nodes: readonly Address[],
        opts: Partial<PublishOptions> = {},
    ) {
        const lines: string[] = [];
        await publish({
            log,
            nodes,
            configuration: createConfiguration(),
            author: "anna",
            timeoutMs: 10_000,
            print: line => lines.push(line),
            ...opts,
        }).catch((err: Error) => lines.push(err.message));
        return lines;
    }

    const ACCEPTED = ["version 1 is in the log", "version 1 accepted", "in force on 1 of 1 nodes"];
    const SUPERSEDED = "superseded by version 1 of ben; run diff and apply again";

    it("applies a change once when the response to the append is lost", async () => {
        const { service, url, log } = await startLog();
        const node = await startNode(url);
        service.setFaults({ loseAnswers: 2 });
        const [first, ...rest] = await publishAndCollectLines(log, [node]);
        expect(first).to.match(/^log service: .*; sent again with the same id$/);
        expect(rest).to.deep.equal(ACCEPTED);
        const { config } = await new ControlReader(log).readToTail();
        expect(config?.number).to.equal(1);
    });

    it("reports acceptance when the first copy of the record that it reads is a duplicate", async () => {
        const { service, url, log } = await startLog({ retentionRecords: 2 });
        const node = await startNode(url);
        /** Once the node has read the first copy, appends a checkpoint and a second copy, so that the first expires. */
        class RepeatingLog extends LogClient {
            override async append(record: LogRecord): Promise<number> {
                await super.append(record);
                while (
                    (await readNodeVersions([node])).some(result => !result.success || result.version < 1)
                ) {
                    await new Promise(resolve => setTimeout(resolve, 10));
                }
                const config = {
                    id: record.id,
                    number: 1,
                    author: "anna",
                    configuration: createConfiguration(),
                };
                await super.append({
                    type: "checkpoint",
                    id: "c",
                    asOf: 0,
                    bridge: false,
                    config,
                    views: {},
                });
                return super.append(record);
            }
        }
        const repeating = new RepeatingLog(url);
        resources.push({ stop: () => repeating.close() });
        expect(await publishAndCollectLines(repeating, [node])).to.deep.equal(ACCEPTED);
        expect(service.appends).to.equal(3);
        await log.close();
    });

    it("reports that the change may still take effect when the log does not confirm it", async () => {
        const { service, url, log } = await startLog();
        const node = await startNode(url);
        class FailingLog extends LogClient {
            override async append(): Promise<number> {
                service.setFaults({ outage: true });
                return super.append({ type: "checkpoint", id: "c", asOf: -1, bridge: false, views: {} });
            }
        }
        const failing = new FailingLog(url);
        resources.push({ stop: () => failing.close() });
        const lines = await publishAndCollectLines(failing, [node], { timeoutMs: 500 });
        expect(lines.at(-1)).to.match(/did not confirm the change in 0\.5 s .* may still take effect/);
        await log.close();
    });

    it("names the winner of a race to the loser, and leaves the winner's version in force", async () => {
        const { url, log } = await startLog();
        const node = await startNode(url);
        /** Appends the record of another operator between this operator's read and append. */
        class RacingLog extends LogClient {
            override async append(record: LogRecord): Promise<number> {
                const rival = { ...record, id: "rival", author: "ben", base: NO_BASE } as LogRecord;
                await super.append(rival);
                return super.append(record);
            }
        }
        const racing = new RacingLog(url);
        resources.push({ stop: () => racing.close() });
        expect(await publishAndCollectLines(racing, [node])).to.deep.equal([SUPERSEDED]);
        expect((await new ControlReader(log).readToTail()).config).to.include({ number: 1, author: "ben" });
    });

    it("rejects a change that is based on an older version, without an append", async () => {
        const { service, url, log } = await startLog();
        const node = await startNode(url);
        await publishAndCollectLines(log, [node], { author: "ben" });
        const appends = service.appends;
        const changed = { configuration: createConfiguration(3) };
        expect(await publishAndCollectLines(log, [node], { ...changed, base: 0 })).to.deep.equal([
            SUPERSEDED,
        ]);
        expect(await publishAndCollectLines(log, [node], { ...changed, base: 2 })).to.deep.equal([
            "--base: version 2 does not exist; version 1 of ben is in force",
        ]);
        expect(service.appends).to.equal(appends);
        expect((await publishAndCollectLines(log, [node], { ...changed, base: 1 })).at(-1)).to.equal(
            "in force on 1 of 1 nodes",
        );
    });

    it("appends nothing when the configuration is already in force", async () => {
        const { service, url, log } = await startLog();
        const node = await startNode(url);
        await publishAndCollectLines(log, [node]);
        const appends = service.appends;
        expect((await publishAndCollectLines(log, [node]))[0]).to.equal(
            "no change: version 1 of anna is the same",
        );
        expect(service.appends).to.equal(appends);
    });

    it("does not report acceptance while no node has the version, and names the nodes that lag", async () => {
        const { log } = await startLog();
        const outdated = await startNode(`http://${HOST}:${await freePort()}`);
        const unreachable = await freeAddress();
        const lines = await publishAndCollectLines(log, [outdated, unreachable], { timeoutMs: 500 });
        expect(lines.join("\n")).not.to.contain("accepted");
        expect(lines.at(-1)!.split("\n")).to.have.length(2);
        expect(lines.at(-1)).to.contain(
            `node ${HOST}:${outdated.port}: version 1 is not in force after 0.5 s; has version 0`,
        );
        expect(lines.at(-1)).to.contain(
            `${HOST}:${unreachable.port}: version 1 is not in force after 0.5 s; unreachable`,
        );
        expect((await publishAndCollectLines(log, [], { timeoutMs: 1 })).at(-1)).to.match(/no node is known/);
    });

    it("starts from a checkpoint, or from a node's state, when old records have expired", async () => {
        const { url, log } = await startLog({ retentionRecords: 1 });
        const node = await startNode(url);
        await publishAndCollectLines(log, [node]);
        // The log keeps one record, so this record without effect displaces the accepted one.
        await log.append({ type: "checkpoint", id: "old", asOf: -1, bridge: false, views: {} });
        expect((await new ControlReader(log, [node]).readToTail()).config?.number).to.equal(1);
        const failure = await new ControlReader(log).readToTail().then(
            () => "read",
            (err: Error) => err.message,
        );
        expect(failure).to.match(/^log service: records before offset 1 have expired/);
        const { config } = await new ControlReader(log, [node]).readToTail();
        await log.append({ type: "checkpoint", id: "new", asOf: 1, bridge: false, config, views: {} });
        expect((await new ControlReader(log).readToTail()).config).to.deep.equal(config);
    });
});
