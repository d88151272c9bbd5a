/** The record of a run: one line for each thing that was sent, answered or run, and the verdict as the exit code. */
import { appendFileSync, writeFileSync } from "node:fs";

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
/** A script may take 120 s; it gives up before that. */
const MAX_RUN_MS = 110_000;

export class RunRecord {
    private readonly startedAt = Date.now();
    private buffer: string[] = [];

    constructor(private readonly file: string) {
        writeFileSync(file, "");
    }

    get elapsedMs(): number {
        return Date.now() - this.startedAt;
    }

    line(text: string): void {
        this.buffer.push(`${(this.elapsedMs / 1000).toFixed(3)} ${text}\n`);
        if (this.buffer.length >= 200) this.flush();
    }

    /** A line that is also shown on the terminal. */
    note(text: string): void {
        this.line(text);
        console.log(text);
    }

    flush(): void {
        appendFileSync(this.file, this.buffer.join(""));
        this.buffer = [];
    }
}

export interface CaseContext {
    readonly record: RunRecord;
    /** False with `TROUBLE=0`: the same run without the disruption. */
    readonly hasTrouble: boolean;
}

export interface CaseRun {
    /** Returns what broke the rule; nothing if the rule held. */
    readonly run: (context: CaseContext) => Promise<readonly string[]>;
    readonly stop: () => Promise<void>;
}

/** Runs a case and ends the process with the exit code that says whether the rule held. */
export async function runCase({ run, stop }: CaseRun): Promise<never> {
    const record = new RunRecord(process.argv[2] ?? "record.txt");
    const hasTrouble = process.env.TROUBLE !== "0";
    record.note(hasTrouble ? "with the disruption" : "without the disruption");
    let code = COULD_NOT_RUN;
    const timeout = setTimeout(() => void finish("did not end in time"), MAX_RUN_MS);
    const finish = async (failure?: string): Promise<never> => {
        clearTimeout(timeout);
        if (failure !== undefined) record.note(`could not run: ${failure}`);
        await stop();
        record.note(`exit code ${code}`);
        record.flush();
        process.exit(code);
    };
    try {
        const broken = await run({ record, hasTrouble });
        for (const line of broken) record.note(`broken: ${line}`);
        code = broken.length === 0 ? HELD : BROKEN;
    }
    catch (err) {
        return finish(err instanceof Error ? err.stack ?? err.message : String(err));
    }
    return finish();
}
