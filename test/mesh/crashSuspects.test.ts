/** Which requests are held responsible for crashes of targets, and for how long. */
import { expect } from "chai";
import { CrashSuspects } from "../../src/policy/crashSuspects.ts";

const MINUTE_MS = 60_000;

/** Records crashes a second apart, from `start` on, at each of which the same requests were in progress. */
function crash(suspects: CrashSuspects, count: number, fingerprints: readonly string[], start = 0): void {
    for (let index = 0; index < count; index++) {
        suspects.recordCrash(`crash-${start + index}`, fingerprints, start + index * 1000);
    }
}

describe("crash suspects", () => {
    it("are blocked at the third crash, and a report that arrives twice counts once", () => {
        const suspects = new CrashSuspects();
        for (const id of ["a", "a", "b", "b"]) suspects.recordCrash(id, ["culprit"], 0);
        expect(suspects.admit("culprit", 1)).to.equal(true);
        expect(suspects.recordCrash("c", ["culprit"], 0)).to.deep.equal(["culprit"]);
        expect(suspects.admit("culprit", 1)).to.equal(false);
    });

    it("are cleared by an answer, so that a frequent request beside a culprit is never blocked", () => {
        const suspects = new CrashSuspects();
        for (let index = 0; index < 10; index++) {
            suspects.recordCrash(`crash-${index}`, ["culprit", "frequent"], index);
            suspects.clear(["frequent"]);
        }
        expect(suspects.admit("frequent", 10)).to.equal(true);
        expect(suspects.admit("culprit", 10)).to.equal(false);
    });

    it("are all blocked if two requests crash targets at the same time", () => {
        const suspects = new CrashSuspects();
        for (let index = 0; index < 3; index++) {
            suspects.recordCrash(`one-${index}`, ["one", `other-${index}`], index);
            suspects.recordCrash(`two-${index}`, ["two", `another-${index}`], index);
        }
        expect([suspects.admit("one", 9), suspects.admit("two", 9)]).to.deep.equal([false, false]);
        expect(suspects.has("other-1")).to.equal(false);
    });

    it("are not blocked if the targets crash whatever they run, e.g. under an overload", () => {
        const suspects = new CrashSuspects();
        const fingerprints = Array.from({ length: 5 }, (_, index) => `q${index}`);
        crash(suspects, 6, fingerprints);
        for (const fingerprint of fingerprints) expect(suspects.admit(fingerprint, 9000)).to.equal(true);
    });

    it("reach a target at most three times in the 8 hours after they were blocked", () => {
        const suspects = new CrashSuspects();
        crash(suspects, 3, ["culprit"]);
        let admitted = 0;
        for (let now = 3000; now < 480 * MINUTE_MS; now += 1500) {
            if (!suspects.admit("culprit", now)) continue;
            admitted++;
            suspects.recordCrash(`later-${now}`, ["culprit"], now);
        }
        expect(admitted).to.be.within(1, 3);
        expect(suspects.blockedForMs("culprit", 480 * MINUTE_MS)).to.be.greaterThan(0);
    });

    it("get free by an answer to the trial after the block, and others wait for it", () => {
        const suspects = new CrashSuspects();
        crash(suspects, 3, ["culprit"]);
        const freeAt = 2000 + MINUTE_MS;
        expect(suspects.admit("culprit", freeAt - 1)).to.equal(false);
        expect([suspects.admit("culprit", freeAt), suspects.admit("culprit", freeAt + 1)]).to.deep.equal([
            true,
            false,
        ]);
        suspects.clear(["culprit"]);
        expect(suspects.admit("culprit", freeAt + 2)).to.equal(true);
    });

    it("are known to a node that starts later", () => {
        const suspects = new CrashSuspects();
        crash(suspects, 3, ["culprit"]);
        crash(suspects, 2, ["suspect"], 10_000);
        const other = new CrashSuspects();
        other.merge(suspects.states(12_000), 500);
        expect(other.admit("culprit", 500)).to.equal(false);
        expect(other.recordCrash("third", ["suspect"], 600)).to.deep.equal(["suspect"]);
    });

    it("are limited in number, and blocked ones stay", () => {
        const suspects = new CrashSuspects();
        crash(suspects, 3, ["culprit"]);
        for (let index = 0; index < 5000; index++) suspects.recordCrash(`c${index}`, [`q${index}`], 4000);
        expect(suspects.states(4000)).to.have.length(512);
        expect(suspects.admit("culprit", 4000)).to.equal(false);
        suspects.recordCrash("much later", [], 4000 + 20 * MINUTE_MS);
        expect(suspects.isEmpty).to.equal(true);
    });
});
