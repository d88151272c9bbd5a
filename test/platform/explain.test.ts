/** `explain` must reconstruct the path of a request, and name missing lines, from the logs of real nodes. */
import { expect } from "chai";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runExplain } from "../../src/commands/explain.ts";
import { CommandError } from "../../src/errors.ts";
import type { LogLine } from "../../src/requestTrace.ts";
import { safeParseLogLine, traceRequest } from "../../src/requestTrace.ts";
import { PlatformMesh, VIRTUAL_HOST, waitFor, wireConfig, wireRoute } from "../support/platformMesh.ts";

describe("explain", () => {
    let mesh: PlatformMesh;

    beforeEach(() => {
        mesh = new PlatformMesh();
    });

    afterEach(() => mesh.stop());

    const logLinesOf = (names: readonly string[]): readonly LogLine[] =>
        mesh.hosts.filter(({ settings }) => names.includes(settings.nodeName))
            .flatMap(({ log }) => log.flatMap(line => safeParseLogLine(line) ?? []));
    const ALL_NODES = ["edge", "shop-1", "shop-2"];

    async function startEdgeAndShops(): Promise<void> {
        await mesh.start([
            { name: "edge", service: "stock" },
            { name: "shop-1", service: "shop" },
            { name: "shop-2", service: "shop" },
        ]);
    }

    it("reports a refusal with its reason and the last attempt", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "shed";
        await edge!.send({ path: "/unsafe/", id: "a1", method: "POST" });
        const trace = traceRequest("a1", logLinesOf(ALL_NODES));
        expect(trace.outcome).to.match(
            /^refused by edge after \d+ ms, not run: target-shed, last sent to shop-[12]$/,
        );
        expect(trace.lines.map(({ event }) => event)).to.include.members([
            "run-ended",
            "repeated",
            "refused",
        ]);
        expect(trace.gaps).to.deep.equal([]);
    });

    it("reports a failure after attempts at two targets", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "hang-up";
        await edge!.send({ path: "/safe/", id: "a2" });
        const trace = traceRequest("a2", logLinesOf(ALL_NODES));
        expect(trace.outcome).to.match(
            /^failed at edge after \d+ ms with 2 sends .*: connection-lost, last sent to/,
        );
        expect(trace.lines.filter(({ event }) => event === "run-ended").length).to.equal(2);
        expect(trace.gaps).to.deep.equal([]);
    });

    it("reports a timeout with the route and configuration version that set it", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        const slowRoute = wireRoute({ name: "r-slow", timeout: "150ms" });
        mesh.store.putConfig(wireConfig(2, [slowRoute]));
        await waitFor("configured", () => edge!.node.meshNode.configVersion === 2);
        for (const { app } of shops) app.mode = "hold";
        await edge!.send({ path: "/safe/", id: "a3" });
        const trace = traceRequest("a3", logLinesOf(ALL_NODES));
        expect(trace.outcome).to.match(
            /^failed at edge after 1[45]\d ms with 0 sends .*: timeout, last sent to/,
        );
        expect(trace.lines.at(-1)).to.include({ route: "r-slow", configVersion: 2 });
    });

    it("includes the calls that the request's run made", async () => {
        const stockCall = { host: VIRTUAL_HOST, path: "/stock/" };
        await mesh.start([{ name: "edge", service: "shop", downstreamCall: stockCall }, {
            name: "store-1",
            service: "stock",
        }], {
            config: wireConfig(1, [
                wireRoute(),
                wireRoute({ name: "r-stock", path_prefix: "/stock/", service: "stock" }),
            ]),
        });
        const [edge, store] = mesh.hosts;
        store!.app.mode = "fail";
        await edge!.send({ path: "/safe/", id: "a4" });
        const trace = traceRequest("a4", logLinesOf(["edge", "store-1"]));
        const callLines = trace.lines.filter(({ id }) => id !== "a4");
        expect(callLines.map(({ event }) => event)).to.include.members(["run-ended", "answered"]);
        expect(callLines.find(({ event }) => event === "answered")).to.include({ parent: "a4" });
    });

    it("finds calls by their parent when their ids do not start with its id", () => {
        const line = (fields: Partial<LogLine>): LogLine => ({
            time: 1,
            node: "n",
            event: "answered",
            ...fields,
        });
        const lines = [
            line({ id: "x2", parent: "x1" }),
            line({ id: "x1", parent: "root" }),
            line({ id: "root" }),
        ];
        const trace = traceRequest("root", [...lines, line({ id: "other" })]);
        expect(trace.lines.map(({ id }) => id)).to.have.members(["root", "x1", "x2"]);
    });

    it("reports which lines are missing", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "hang-up";
        await edge!.send({ path: "/unsafe/", id: "a5", method: "POST" });
        const trace = traceRequest("a5", logLinesOf(["edge"]));
        expect(trace.gaps).to.have.lengthOf(1);
        expect(trace.gaps[0]).to.match(/^no line of shop-[12] is in these files/);
        expect(traceRequest("unknown", logLinesOf(ALL_NODES)).outcome).to.equal(
            "no line of this request was found",
        );
    });

    it("reads files with a log collector's prefix on each line, and rejects files without node lines", async () => {
        await startEdgeAndShops();
        const [edge, ...shops] = mesh.hosts;
        for (const { app } of shops) app.mode = "shed";
        await edge!.send({ path: "/unsafe/", id: "a6", method: "POST" });
        const directory = mkdtempSync(join(tmpdir(), "filbertspool-"));
        const files = mesh.hosts.map(({ log, settings }) => {
            const file = join(directory, `${settings.nodeName}.log`);
            writeFileSync(file, log.map(line => `12:00:01 ${settings.nodeName} ${line.trim()}\n`).join(""));
            return file;
        });
        const printed: string[] = [];
        await runExplain("a6", files, line => printed.push(line));
        expect(printed[0]).to.match(/^a6: refused by edge/);
        expect(printed.join("\n")).to.contain("run-ended");
        const empty = join(directory, "empty.log");
        writeFileSync(empty, "nothing\n");
        const errorCodeOf = async (id: string, logFiles: readonly string[]) => {
            try {
                await runExplain(id, logFiles, () => undefined);
            }
            catch (err) {
                if (err instanceof CommandError) return err.issues[0]?.code;
                throw err;
            }
            return "ok";
        };
        expect(await errorCodeOf("a6", [empty])).to.equal("no-lines");
        expect(await errorCodeOf("a6", [join(directory, "none.log")])).to.equal("unreadable");
        expect(await errorCodeOf("none", files)).to.equal("unknown-request");
    });

    it("prints the examples of the operators' page from recorded logs", async () => {
        const page = readFileSync("docs/OPERATIONS.md", "utf8");
        const examples = {
            "abc1583066a2a190": "overload.log",
            "36c970d8ea8a2bd7": "two-targets.log",
            "500841c904540261": "restart.log",
        };
        for (const [id, file] of Object.entries(examples)) {
            const printed: string[] = [];
            await runExplain(id, [join("test/fixtures/logs", file)], line => printed.push(line));
            expect(page, id).to.contain(printed.join("\n"));
        }
    });
});
