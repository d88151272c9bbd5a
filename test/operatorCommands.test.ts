/** Runs the operators' commands as processes. Invalid input must print one clear line and exit with a non-zero status. */
import { expect } from "chai";
import { cpSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freeAddress, ProcessGroup, waitForStatus } from "./support/processes.ts";

function createChangedSet(from: string, to: string): string {
    const directory = mkdtempSync(join(tmpdir(), "changed-"));
    cpSync("examples/demo", directory, { recursive: true });
    const file = join(directory, "kinds.yaml");
    writeFileSync(file, readFileSync(file, "utf8").replace(from, to));
    return directory;
}

describe("operators' commands", () => {
    const processes = new ProcessGroup();
    after(() => processes.stop());

    const invalidCommands: readonly (readonly [readonly string[], RegExp])[] = [
        [["aply", "x"], /^unknown command "aply"; valid: node, check, diff, apply/],
        [["status", "--nod", "x"], /^unknown flag --nod; valid: --log-url, --node, --peer-key, --json/],
        [["check"], /^missing directory; usage: filbertspool check <dir>/],
        [["check", "/nonexistent"], /^\/nonexistent: not a readable directory .*; give one with kinds\.yaml/],
        [["apply", "examples/demo", "extra"], /^unexpected argument "extra"/],
        [["apply", "examples/demo"], /^--log-url: missing; give a URL/],
        [["apply", "examples/demo", "--log-url", "http://127.0.0.1:1"], /^log service: .*ECONNREFUSED/],
        [["diff", "examples/demo"], /^--log-url: missing; give --log-url .* or --node/],
        [["status", "--node", "127.0.0.1:1"], /^127\.0\.0\.1:1: unreachable: .*ECONNREFUSED/],
        [["standin-caller", "--entry", "x"], /^--entry: "x" is not entry listeners/],
    ];
    for (const [args, message] of invalidCommands) {
        it(`rejects "${args.join(" ")}" with one line`, async () => {
            const { code, stdout, stderr } = await processes.run(args);
            expect([code, stdout]).to.deep.equal([1, ""]);
            expect(stderr).to.match(message);
            expect(stderr.trimEnd().split("\n")).to.have.length(1);
        });
    }

    it("check lists every issue and exits with 1, or reports that the set is valid", async () => {
        const faulty = createChangedSet("priority: 0", "priority: 9\n      colour: red");
        const { code, stderr } = await processes.run(["check", faulty]);
        expect(code).to.equal(1);
        expect(stderr.trimEnd().split("\n").map(line => line.split(":").slice(0, 2).join(":"))).to.deep.equal(
            [
                "kinds.yaml:3",
                "kinds.yaml:4",
            ],
        );
        const valid = await processes.run(["check", "examples/demo"]);
        expect(valid).to.deep.equal({
            code: 0,
            stdout: "examples/demo: valid, 2 kinds, 3 services\n",
            stderr: "",
        });
    });

    it("diff shows what apply changes, apply rejects a stale --base, and status shows the version", async () => {
        const [log, entry, peer, egress, target] = await Promise.all(Array.from({ length: 5 }, freeAddress));
        const logUrl = `http://${log}`;
        const source = ["--log-url", logUrl];
        processes.start(["standin-log", "--listen", log!]);
        const node = ["--service", "gallery", "--egress", egress!];
        const key = ["--peer-key", "0123456789012345678"];
        await waitForStatus(`${logUrl}/streams/control/records?from=0`, 200);
        processes.start([
            "node",
            ...node,
            "--data-centre",
            "a",
            "--entry",
            entry!,
            "--peer",
            peer!,
            ...source,
            ...key,
        ]);
        processes.start(["standin-target", ...node, "--listen", target!]);

        const apply = (directory: string, ...more: string[]) =>
            processes.run(["apply", directory, ...source, "--node", peer!, "--author", "anna", ...more]);
        expect((await apply("examples/demo")).stdout).to.contain(
            "version 1 accepted\nin force on 1 of 1 nodes\n",
        );

        const changed = createChangedSet("priority: 6", "priority: 5");
        const diff = await processes.run(["diff", changed, ...source]);
        expect(diff.stdout).to.contain("kinds.yaml:\n    kind browse: priority 6 -> 5\n");
        expect(diff.stdout).to.contain("-      priority: 6\n+      priority: 5\n");
        expect((await apply(changed, "--base", "0")).stderr).to.equal(
            "superseded by version 1 of anna; run diff and apply again\n",
        );
        expect((await apply(changed, "--base", "1")).code).to.equal(0);
        expect((await processes.run(["diff", changed, "--node", peer!])).stderr).to.contain("is the node up");
        expect((await processes.run(["diff", changed, "--node", peer!, ...key])).stdout).to.equal(
            "no change against version 2 of anna\n",
        );

        const table = await processes.run(["status", "--node", peer!]);
        expect(table.stdout).to.match(new RegExp(`^gallery +${peer!} +a +\\S.* +2 \\(anna\\)`, "m"));
        expect(table.stdout).to.match(
            new RegExp(`^config_records +accepted +(\\d+) +${peer!} \\(\\1\\)$`, "m"),
        );
        const json = await processes.run(["status", ...source, "--node", peer!, "--json"]);
        expect(JSON.parse(json.stdout)).to.have.nested.property("nodes[0].config.number", 2);
    });

    it("dev shows one run in each service, a change that takes effect, and one winner of a conflict", async () => {
        const { code, stdout, stderr } = await processes.run(["dev", "--once"]);
        expect({ code, stderr }).to.deep.equal({ code: 0, stderr: "" });
        expect(stdout.match(/^runs: .*$/gm)).to.deep.equal(
            Array(2).fill("runs: calendar 1, booking 1, gallery 1"),
        );
        expect(stdout.match(/^kind browse: \d+/gm)).to.deep.equal(["kind browse: 200", "kind browse: 400"]);
        expect(stdout.match(/version 3 is in force/g)).to.have.length(1);
        expect(stdout.match(/superseded by version 3 of (anna|ben); run diff and apply again/g)).to.have
            .length(1);
    });
});
