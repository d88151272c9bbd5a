/**
 * Takes calls out of the quota of their account before they are admitted, and gives back what was taken for calls that
 * have not run. Calls without an account, and those of an account without a limit, pass.
 */
import type { Call } from "./call.ts";
import type { QuotaGate } from "./quotaGate.ts";

export class QuotaCheck {
    /**
     * Without `quotas`, all calls pass. `onDecided` is called once after each result `waiting`, unless the call has
     * ended meanwhile, e.g. because its caller disconnected.
     */
    constructor(
        private readonly quotas: QuotaGate | undefined,
        private readonly onDecided: (call: Call, isAdmitted: boolean) => void,
    ) {}

    acquire(call: Call): "admitted" | "waiting" | "refused" {
        const { account } = call;
        const { quotas } = this;
        if (quotas === undefined || account === undefined || account.ratePerS === 0) return "admitted";
        const result = quotas.acquire(account, isAdmitted => {
            call.isWaitingForQuota = false;
            call.holdsQuota = isAdmitted;
            if (call.isDone) this.giveBack(call);
            else this.onDecided(call, isAdmitted);
        });
        if (result === "admitted") call.holdsQuota = true;
        if (result === "waiting") call.isWaitingForQuota = true;
        return result;
    }

    /** Gives back what the call has taken, if anything. Call only if no target has executed the call. */
    giveBack(call: Call): void {
        if (!call.holdsQuota) return;
        call.holdsQuota = false;
        this.quotas!.giveBack(call.account!);
    }

    /** Time in ms after which the account of a call may send another request. */
    retryAfterMs({ account }: Call): number {
        return account === undefined ? 0 : this.quotas?.retryAfterMs(account) ?? 0;
    }
}
