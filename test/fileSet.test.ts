/** An invalid file set must be rejected as a whole, with the location of every fault. */
import { expect } from "chai";
import * as fc from "fast-check";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatIssue } from "../src/errors.ts";
import type { FileName } from "../src/files.ts";
import { renderFileSet, safeReadFileSet } from "../src/files.ts";

const KINDS = `kinds:
    - name: book
      priority: 0
      worth: 100
      nonIdempotent: true
      retries: 2
      deadlineMs: 2000
      external: true
`;

function writeFileSet(files: Partial<Record<FileName | "kind.yml", string>> = {}): string {
    const directory = mkdtempSync(join(tmpdir(), "file-set-"));
    const complete = {
        "kinds.yaml": KINDS,
        "services.yaml":
            "services:\n    - { name: booking, defaultKind: book, calls: [], connections: 10 }\n",
        "settings.yaml": "format: 1\n",
        ...files,
    };
    for (const [name, text] of Object.entries(complete)) writeFileSync(join(directory, name), text);
    return directory;
}

function issuesOf(files: Parameters<typeof writeFileSet>[0]): readonly string[] {
    const result = safeReadFileSet(writeFileSet(files));
    return result.success ? [] : result.issues.map(formatIssue);
}

describe("file set", () => {
    it("reads a complete set, and its rendered form gives the same configuration", () => {
        const result = safeReadFileSet("examples/demo");
        if (!result.success) throw new Error(result.issues.map(formatIssue).join("\n"));
        expect(safeReadFileSet(writeFileSet(renderFileSet(result.value)))).to.deep.equal(result);
    });

    it("accepts every example", () => {
        for (const name of ["demo", "zonnewacht", "sriharikota"]) {
            const result = safeReadFileSet(`examples/${name}`);
            expect(result.success ? [] : result.issues.map(formatIssue), name).to.deep.equal([]);
        }
    });

    it("reports the file, line and valid values of every fault at once", () => {
        const issues = issuesOf({
            "kinds.yaml": KINDS.replace("priority: 0", "priority: 9").replace("worth", "wroth"),
            "services.yaml": "services: {}\n",
            "settings.yaml": "format: 2\nreplacedServices:\n    - { service: a }\n",
        });
        expect(issues).to.deep.equal([
            "kinds.yaml:3: kinds[0].priority: 9 is not valid; give a whole number from 0 (refused last) to 7",
            "kinds.yaml:2: kinds[0].worth: missing; give a number from 0 (not counted)",
            "kinds.yaml:4: kinds[0].wroth: unknown field; valid: name, priority, worth, nonIdempotent, retries, "
            + "deadlineMs, external",
            "services.yaml:1: services: Object is not valid; give a list of at least one service",
            "settings.yaml:1: format: 2 is not valid; give 1",
            "settings.yaml:3: replacedServices[0].viewVersion: missing; give a whole number from 0",
        ]);
    });

    it("rejects text that is not YAML, a missing directory and a file with a wrong name", () => {
        expect(issuesOf({ "kinds.yaml": "kinds: [\n" })[0]).to.match(/^kinds\.yaml:2: /);
        expect(issuesOf({ "kind.yml": "" })[0]).to.match(
            /^kind\.yml: not part of a file set; valid: kinds\.yaml/,
        );
        const missing = safeReadFileSet("/nonexistent");
        expect(missing.success ? [] : missing.issues.map(issue => issue.code)).to.deep.equal(["directory"]);
    });

    it("reports issues with a file and line, and never throws, whatever the content", () => {
        const value = fc.jsonValue({ maxDepth: 3 });
        const item = fc.dictionary(
            fc.constantFrom("name", "priority", "calls", "defaultKind", "service"),
            value,
        );
        const list = fc.oneof(value, fc.array(item, { maxLength: 3 }));
        const content = (key: string) =>
            fc.oneof(
                fc.string(),
                list.map(inner => JSON.stringify({ [key]: inner })),
                value.map(v => JSON.stringify(v)),
            );
        const files = fc.record({
            "kinds.yaml": content("kinds"),
            "services.yaml": content("services"),
            "settings.yaml": content("replacedServices"),
        });
        fc.assert(
            fc.property(files, texts => {
                const issues = issuesOf(texts);
                expect(issues.length).to.be.greaterThan(0);
                for (const issue of issues) {
                    expect(issue).to.match(/^(kinds|services|settings)\.yaml:\d+: [^\n]+$/);
                }
            }),
            { numRuns: 200, seed: 7 },
        );
    });

    it("finds faults beyond the schemas: names, default kinds, calls, cycles, deadlines", () => {
        const issues = issuesOf({
            "kinds.yaml": `${KINDS}${KINDS.slice("kinds:\n".length).replace("2000", "700000")}`,
            "services.yaml": `services:
    - { name: a, defaultKind: browse, calls: [a, b], connections: 1 }
    - { name: b, defaultKind: book, calls: [c, c, x], connections: 1 }
    - { name: c, defaultKind: book, calls: [a], connections: 1 }
    - { name: Drain, defaultKind: book, calls: [], connections: 1 }
    - { name: drain, defaultKind: book, calls: [], connections: 1 }
`,
            "settings.yaml": "format: 1\nreplacedServices:\n    - { service: y, viewVersion: 1 }\n",
        });
        expect(issues.map(issue => issue.split(";")[0])).to.deep.equal([
            "kinds.yaml:9: duplicate name \"book\"",
            "services.yaml:5: name \"Drain\" is not valid",
            "services.yaml:6: service name \"drain\" is taken by a path of the egress listener",
            "kinds.yaml:14: deadlineMs 700000 of non-idempotent kind \"book\" is over the resend horizon",
            "services.yaml:2: defaultKind \"browse\" is not a valid kind",
            "services.yaml:2: service \"a\" calls itself",
            "services.yaml:3: calls lists \"c\" twice",
            "services.yaml:3: calls lists \"x\", which is not a service of this file set",
            "services.yaml:4: calls form a cycle: a -> b -> c -> a",
            "settings.yaml:3: replacedServices lists \"y\", which is not a service of this file set",
        ]);
    });
});
