/** The declarative file set: a faulty file must be refused as a whole, with its place. */
import { expect } from "chai";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { safeReadFileSet } from "../src/files.ts";

const KINDS = `kinds:
    - name: book
      priority: 0
      worth: 100
      nonIdempotent: true
      retries: 2
      deadlineMs: 2000
      external: true
`;

interface FileSet {
    readonly kinds?: string;
    readonly services?: string;
    readonly settings?: string;
}

function createFileSet(files: FileSet = {}): string {
    const directory = mkdtempSync(join(tmpdir(), "file-set-"));
    writeFileSync(join(directory, "kinds.yaml"), files.kinds ?? KINDS);
    writeFileSync(
        join(directory, "services.yaml"),
        files.services
            ?? "services:\n    - { name: booking, defaultKind: book, calls: [], connections: 10 }\n",
    );
    writeFileSync(join(directory, "settings.yaml"), files.settings ?? "format: 1\n");
    return directory;
}

describe("file set", () => {
    it("reads a complete set", () => {
        const result = safeReadFileSet(createFileSet());
        expect(result.success && result.value.kinds.map(kind => kind.name)).to.deep.equal(["book"]);
    });

    it("names the file and line of a value that is out of range", () => {
        const result = safeReadFileSet(createFileSet({ kinds: KINDS.replace("priority: 0", "priority: 9") }));
        expect(result.success ? [] : result.issues.map(issue => issue.path[0])).to.deep.equal([
            "kinds.yaml:3",
        ]);
    });
});
