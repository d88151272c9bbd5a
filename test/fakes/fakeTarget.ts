/** Simulated target with slots and service times. It calls other services through its node. */
import type { Scheduler } from "./scheduler.ts";

export type TargetOutcome =
    | { readonly type: "answered"; readonly status: number; }
    | { readonly type: "crashed"; };

export interface TargetTask {
    readonly requestId: string;
    readonly kind: string;
    readonly key?: string | undefined;
    /** The target refuses to start the request at this time or later. */
    readonly startBefore?: number | undefined;
    readonly done: (outcome: TargetOutcome) => void;
}

export interface FakeTargetOptions {
    readonly slots: number;
    /** Mean of the exponentially distributed service time, ms. */
    readonly serviceMs: number;
    /** Services that a request calls one after the other, after its service time. */
    readonly calls?: readonly string[];
    /** Takes precedence over `calls` for the kinds that it contains. */
    readonly callsByKind?: Readonly<Record<string, readonly string[]>>;
    /** Calls a service through the node, and passes the status of the response to `done`. */
    readonly callDownstream: (service: string, task: TargetTask, done: (status: number) => void) => void;
}

interface SubmittedTask {
    readonly task: TargetTask;
    cancelled: boolean;
}

export class FakeTarget {
    /** Multiplies service times. */
    slowdown = 1;
    alive = true;
    /** Requests that were started, in order. */
    readonly started: TargetTask[] = [];
    /** Whether a request crashes the target when it starts. */
    crashesOn: (task: TargetTask) => boolean = () => false;
    /** Total service time of the started requests. */
    busyMs = 0;
    /** If set, each request fails with status 500 after 1 ms, and the target still counts as healthy. */
    failing = false;
    /** Called with the service time of each started request. */
    onWork: (task: TargetTask, serviceMs: number) => void = () => undefined;
    private readonly active = new Set<SubmittedTask>();
    private readonly waiting: SubmittedTask[] = [];
    private readonly scheduler: Scheduler;
    private readonly opts: FakeTargetOptions;
    private readonly onCrash: () => void;

    constructor(scheduler: Scheduler, opts: FakeTargetOptions, onCrash: () => void) {
        this.scheduler = scheduler;
        this.opts = opts;
        this.onCrash = onCrash;
    }

    get inProgress(): number {
        return this.active.size + this.waiting.length;
    }

    /** Queues a task, or starts it if a slot is free. Returns a function that cancels it. */
    submit(task: TargetTask): () => void {
        const entry: SubmittedTask = { task, cancelled: false };
        this.waiting.push(entry);
        this.startWaiting();
        return () => this.cancel(entry);
    }

    /** Stops the target, and ends all tasks without a response. */
    crash(): void {
        if (!this.alive) return;
        this.alive = false;
        const aborted = [...this.active, ...this.waiting];
        this.active.clear();
        this.waiting.length = 0;
        this.onCrash();
        for (const entry of aborted) {
            if (!entry.cancelled) entry.task.done({ type: "crashed" });
            entry.cancelled = true;
        }
    }

    restart(): void {
        this.alive = true;
    }

    private startWaiting(): void {
        while (this.alive && this.active.size < this.opts.slots) {
            const entry = this.waiting.shift();
            if (entry === undefined) return;
            this.start(entry);
        }
    }

    private start(entry: SubmittedTask): void {
        this.active.add(entry);
        if (this.scheduler.now >= (entry.task.startBefore ?? Infinity)) {
            return this.scheduler.after(0, () => this.finish(entry, 503));
        }
        this.started.push(entry.task);
        if (this.crashesOn(entry.task)) return this.crash();
        if (this.failing) return this.scheduler.after(1, () => this.finish(entry, 500));
        const serviceMs = this.scheduler.exponential(this.opts.serviceMs) * this.slowdown;
        this.busyMs += serviceMs;
        this.onWork(entry.task, serviceMs);
        this.scheduler.after(serviceMs, () => this.callNext(entry, 0));
    }

    private callNext(entry: SubmittedTask, index: number): void {
        if (entry.cancelled) return this.releaseSlot(entry);
        const service = (this.opts.callsByKind?.[entry.task.kind] ?? this.opts.calls)?.[index];
        if (service === undefined) return this.finish(entry, 200);
        this.opts.callDownstream(service, entry.task, status => {
            if (status === 200) this.callNext(entry, index + 1);
            else this.finish(entry, status);
        });
    }

    private finish(entry: SubmittedTask, status: number): void {
        if (!entry.cancelled) entry.task.done({ type: "answered", status });
        entry.cancelled = true;
        this.releaseSlot(entry);
    }

    private cancel(entry: SubmittedTask): void {
        entry.cancelled = true;
        const index = this.waiting.indexOf(entry);
        if (index >= 0) this.waiting.splice(index, 1);
    }

    private releaseSlot(entry: SubmittedTask): void {
        if (this.active.delete(entry)) this.startWaiting();
    }
}
