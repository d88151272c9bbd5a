/** Requests that were in progress when targets crashed. */
import type { Map } from "immutable";
import { emptyMap } from "./util.ts";

export interface CrashesState {
    /** Crash ids by fingerprint of the requests in progress. */
    readonly suspects: Map<string, readonly string[]>;
}

export function createCrashesState(): CrashesState {
    return { suspects: emptyMap() };
}
