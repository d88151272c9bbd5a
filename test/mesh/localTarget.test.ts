/**
 * Guards against a target that has left, or begun to leave, being used again after a restart of its node: a heartbeat
 * from before may arrive later than everything else.
 */
import { expect } from "chai";
import { LocalTarget } from "../../src/mesh/localTarget.ts";
import { TargetRegistration } from "../../src/mesh/targetRegistration.ts";
import type { Announcement } from "../../src/mesh/targetRegistration.ts";
import type { TargetRecord, TargetState } from "../../src/mesh/types.ts";

const ADDRESS = "127.0.0.1:8000";
const BORN_AT = 1_700_000_000_000;

function announce(fields: Partial<Announcement> = {}): Announcement {
    return {
        id: "i-1",
        service: "shop",
        address: ADDRESS,
        state: "ready",
        slots: 20,
        sequence: 5,
        bornAt: BORN_AT,
        ...fields,
    };
}

function targetIn(state: TargetState, fields: Partial<TargetRecord> = {}): TargetRecord {
    return { id: "i-1", service: "shop", state, slots: 20, bornAt: BORN_AT, ...fields };
}

function peerRecord(target: TargetRecord | undefined): unknown {
    return { name: "n", address: "127.0.0.1:1", dataCentre: "a", startedAt: 1, serial: 1, target };
}

describe("the local target of a restarted node", () => {
    let target: LocalTarget;

    beforeEach(() => {
        target = new LocalTarget({
            address: ADDRESS,
            healthPathOf: () => "/health",
            checkHealth: (_, onChecked) => onChecked("i-1"),
            onRecorded: () => undefined,
            onSettled: () => undefined,
        });
    });

    afterEach(() => target.history.close());

    const state = () => target.record?.state;
    const settle = () => new Promise(resolve => setTimeout(resolve, 300));

    for (const left of ["draining", "gone"] as const) {
        it(`stays ${left} if the store says so and a late heartbeat arrives before, between or after`, async () => {
            target.onAnnouncement(announce());
            expect(state()).to.equal(undefined);
            target.history.onStoredTarget(targetIn(left));
            target.onAnnouncement(announce({ sequence: 6 }));
            await settle();
            target.onAnnouncement(announce({ sequence: 7 }));
            expect(state()).to.equal(left);
        });

        it(`stays ${left} if another node says so in time, or later than the store`, async () => {
            target.history.onStoredTarget(targetIn("ready"));
            target.onAnnouncement(announce());
            target.history.onPeerRecord(peerRecord(targetIn(left)));
            await settle();
            expect(state()).to.equal(left);
        });
    }

    it("is taken out of use by another node's record that arrives after the question was settled", async () => {
        target.history.onStoredTarget(targetIn("ready"));
        await settle();
        expect(state()).to.equal("ready");
        target.history.onPeerRecord(peerRecord(targetIn("gone")));
        expect(state()).to.equal("gone");
    });

    it("is not taken from a node that restarted as well, while the store has not been read", () => {
        target.onAnnouncement(announce());
        target.history.onPeerRecord({});
        target.history.onStoredTarget(targetIn("gone"));
        expect(state()).to.equal("gone");
    });

    it("is used within 300 ms of the store's answer if it is a new start, under the same or another id", async () => {
        for (
            const next of [
                announce({ bornAt: BORN_AT + 1, sequence: 1 }),
                announce({ id: "i-2", bornAt: BORN_AT + 1 }),
            ]
        ) {
            target.history.onStoredTarget(targetIn("gone"));
            target.onAnnouncement(next);
            await settle();
            expect(target.record).to.deep.include({ id: next.id, state: "ready" });
        }
    });

    it("is used at once if no earlier process has stored anything", () => {
        target.onAnnouncement(announce());
        target.history.onStoreRead();
        expect(state()).to.equal("ready");
    });

    it("is used in the end if a configuration is in force but neither the store nor a node answers", async () => {
        target.onAnnouncement(announce());
        target.history.onConfig();
        await new Promise(resolve => setTimeout(resolve, 1050));
        expect(state()).to.equal("ready");
    });

    it("stays gone if it deregistered while nothing was known of it", () => {
        target.onDeregister("i-1");
        target.history.onStoreRead();
        target.onAnnouncement(announce());
        expect(state()).to.equal("gone");
        target.onAnnouncement(announce({ bornAt: Date.now() + 1, sequence: 1 }));
        expect(state()).to.equal("ready");
    });
});

describe("the registration of a target", () => {
    it("accepts a start with an earlier time, after the clock was set back, once it goes on alone", () => {
        const registration = new TargetRegistration(ADDRESS);
        registration.recordAnnouncement(announce(), 0);
        const next = (sequence: number, now: number) =>
            registration.recordAnnouncement(announce({ bornAt: BORN_AT - 2000, sequence }), now);
        expect([next(1, 1500), next(2, 3000), next(3, 4500)]).to.deep.equal([false, false, true]);
        expect(registration.recordAnnouncement(announce({ sequence: 6 }), 4600)).to.equal(false);
        expect(next(4, 6000)).to.equal(true);
    });

    // Guards against DRAIN: the leaving of such a start was acknowledged and ignored.
    it("takes a start out of use that leaves, also if its start time is earlier than the latest one's", () => {
        const registration = new TargetRegistration(ADDRESS);
        registration.recordAnnouncement(announce(), 0);
        const earlier = { bornAt: BORN_AT - 2000, sequence: 1, state: "draining" } as const;
        expect(registration.recordAnnouncement(announce(earlier), 1500)).to.equal(true);
        expect(registration.record?.state).to.equal("draining");
        expect(registration.recordAnnouncement(announce({ ...earlier, state: "ready", sequence: 2 }), 3000))
            .to.equal(false);
        expect(registration.recordAnnouncement(announce({ sequence: 6 }), 3100)).to.equal(true);
    });

    // Guards against DRAIN: a heartbeat of another writer raised the sequence number, and the leaving was ignored.
    it("takes a target out of use that leaves, also if its sequence number is lower than the latest one", () => {
        const registration = new TargetRegistration(ADDRESS);
        registration.recordAnnouncement(announce({ sequence: 1_000_000, slots: 30 }), 0);
        expect(registration.recordAnnouncement(announce({ sequence: 6 }), 1500)).to.equal(false);
        expect(registration.recordAnnouncement(announce({ sequence: 7, state: "draining" }), 3000)).to.equal(
            true,
        );
        expect(registration.record).to.deep.include({ state: "draining", slots: 30 });
        expect(registration.recordAnnouncement(announce({ sequence: 2_000_000 }), 4500)).to.equal(false);
    });

    it("ignores late heartbeats of an earlier start beside those of the current one, and several at once", () => {
        const registration = new TargetRegistration(ADDRESS);
        registration.recordAnnouncement(announce(), 0);
        const late = (sequence: number, now: number) =>
            registration.recordAnnouncement(announce({ id: "i-0", bornAt: BORN_AT - 2000, sequence }), now);
        expect([late(1, 10), late(2, 11), late(3, 12), late(4, 13)]).to.deep.equal([
            false,
            false,
            false,
            false,
        ]);
        for (let round = 1; round <= 5; round++) {
            registration.recordAnnouncement(announce({ sequence: 5 + round }), round * 1500);
            expect(late(4 + round, round * 1500 + 700)).to.equal(false);
        }
        expect(registration.record?.id).to.equal("i-1");
    });
});
