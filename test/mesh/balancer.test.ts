/** The choice of a target: nearness, load, failures. */
import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Candidate } from "../../src/policy/balancer.ts";
import { chooseTarget } from "../../src/policy/balancer.ts";
import { ejectionShare } from "../../src/policy/ejection.ts";
import { EntryCutoffs } from "../../src/policy/entryCutoff.ts";
import { MAX_LEVEL } from "../../src/policy/level.ts";

function makeRandom(): () => number {
    const generator = xoroshiro128plus(7);
    return () => uniformInt(generator, 0, 0xffff) / 0x10000;
}

function makeCandidate(fields: Partial<Candidate> = {}): Candidate {
    return {
        isLocalHost: false,
        isLocalDataCentre: false,
        pending: 0,
        pendingAtReport: 0,
        slots: 20,
        report: undefined,
        reportedAt: 0,
        avoidUntil: 0,
        ...fields,
    };
}

const report = {
    cutoff: MAX_LEVEL,
    running: 0,
    queued: 0,
    limit: 20,
    serviceMs: 40,
    failureShare: 0,
    configVersion: 1,
};

describe("choice of a target", () => {
    it("keeps to the own data centre while it is not much slower", () => {
        const candidates = [makeCandidate(), makeCandidate({ isLocalDataCentre: true, pending: 10 })];
        for (let draw = 0; draw < 20; draw++) {
            expect(chooseTarget(candidates, 0, () => draw / 20)).to.equal(1);
        }
    });

    it("goes elsewhere before the own data centre is full", () => {
        const nearlyFull = makeCandidate({ isLocalDataCentre: true, report: { ...report, running: 19 } });
        const slower = makeCandidate({ report: { ...report, serviceMs: 60 } });
        for (let draw = 0; draw < 20; draw++) {
            expect(chooseTarget([nearlyFull, slower, slower], 0, () => draw / 20)).to.not.equal(-1);
        }
        const chosen = Array.from(
            { length: 100 },
            (_, draw) => chooseTarget([nearlyFull, slower], 0, () => draw / 100),
        );
        expect(chosen).to.include(1);
    });

    it("keeps filled targets from exchanging requests between data centres", () => {
        const filled = { ...report, running: 20, queued: 4 };
        const local = makeCandidate({ isLocalDataCentre: true, report: filled });
        const remotes = [makeCandidate({ report: filled }), makeCandidate({ report: filled })];
        const rand = makeRandom();
        const chosen = Array.from({ length: 300 }, () => chooseTarget([local, ...remotes], 0, rand));
        expect(chosen.filter(index => index === 0).length).to.equal(300);
        const fuller = { ...local, report: { ...report, running: 20, queued: 20 } };
        const spilled = Array.from({ length: 300 }, () => chooseTarget([fuller, ...remotes], 0, rand));
        expect(spilled.filter(index => index !== 0).length).to.equal(300);
    });

    it("leaves the own data centre when its targets are full or slow", () => {
        const full = makeCandidate({ isLocalDataCentre: true, pending: 40 });
        const slow = makeCandidate({ isLocalDataCentre: true, report: { ...report, serviceMs: 400 } });
        for (const local of [full, slow]) {
            const remotes = [makeCandidate({ report }), makeCandidate({ report })];
            for (let draw = 0; draw < 20; draw++) {
                expect(chooseTarget([local, ...remotes], 0, () => draw / 20)).to.not.equal(0);
            }
        }
    });

    it("avoids a target that has just failed, unless there is no other", () => {
        const failed = makeCandidate({ isLocalDataCentre: true, avoidUntil: 100 });
        expect(chooseTarget([failed, makeCandidate()], 50, () => 0)).to.equal(1);
        expect(chooseTarget([failed], 50, () => 0)).to.equal(0);
        expect(chooseTarget([], 50, () => 0)).to.equal(-1);
    });
});

describe("ejection of failing targets", () => {
    const failing = (failureShare: number, reportedAt = 0) =>
        makeCandidate({ report: { ...report, failureShare }, reportedAt });

    /** Plays calls to four targets that fail these shares; returns the share that failed in the last half. */
    function play(failShares: (call: number) => readonly number[], calls: number): number {
        const rand = makeRandom();
        const targets = failShares(0).map(() => failing(0));
        let failed = 0;
        for (let call = 0; call < calls; call++) {
            const now = call * 5;
            const index = chooseTarget(targets, now, rand);
            const before = targets[index]!.report!.failureShare;
            const hasFailed = rand() < failShares(call)[index]!;
            if (hasFailed && call >= calls / 2) failed++;
            targets[index] = failing(before + 0.04 * ((hasFailed ? 1 : 0) - before), now);
        }
        return failed / (calls / 2);
    }

    it("keeps calls from targets that fail half of theirs", () => {
        // Chains of four calls need 0.95 a call for four in five of them to succeed.
        expect(play(() => [0.5, 0, 0, 0], 8000)).to.be.below(0.05);
        expect(play(() => [0.5, 0.5, 0, 0], 8000)).to.be.below(0.05);
    });

    it("uses a target again that is well again", () => {
        const targets = [failing(0.6, 0), failing(0, 0)];
        const rand = makeRandom();
        const shareOfFirst = (now: number) =>
            Array.from({ length: 200 }, () => chooseTarget(targets, now, rand)).filter(index => index === 0)
                .length / 200;
        expect(shareOfFirst(1000)).to.equal(0);
        expect(shareOfFirst(2500)).to.be.within(0.3, 0.7);
    });

    it("ejects none when all fail alike, and never more than half", () => {
        expect(ejectionShare([failing(0.5), failing(0.6), failing(0.45)], 0)).to.equal(Infinity);
        const shares = [0.9, 0.8, 0.7, 0];
        const from = ejectionShare(shares.map(share => failing(share)), 0);
        expect(shares.filter(share => share >= from)).to.deep.equal([0.9, 0.8]);
        expect(ejectionShare([failing(1)], 0)).to.equal(Infinity);
    });

    it("leaves ejected targets out of the cut-off at the entry", () => {
        const busy = { cutoff: 100, isUsable: true, report, reportedAt: 0 };
        const ejected = { ...busy, cutoff: MAX_LEVEL, report: { ...report, failureShare: 0.6 } };
        const cutoffs = new EntryCutoffs(() => [busy, ejected, busy]);
        expect(cutoffs.cutoffOf("s", 100)).to.equal(100);
    });
});
