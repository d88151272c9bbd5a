/** Shapes of everything that comes from outside: log records, messages of other nodes, and call contexts. */
import * as v from "valibot";

const text = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const ms = v.pipe(v.number(), v.minValue(0));

export const addressSchema = v.strictObject({
    host: v.pipe(v.string(), v.ip()),
    port: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(65_535)),
});

export const memberSchema = v.strictObject({
    id: text,
    service: text,
    address: addressSchema,
    dataCentre: text,
});

export const kindSchema = v.strictObject({
    name: text,
    priority: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(7)),
    worth: v.pipe(v.number(), v.minValue(0)),
    nonIdempotent: v.boolean(),
    retries: v.pipe(count, v.maxValue(100)),
    deadlineMs: v.pipe(v.number(), v.minValue(1), v.maxValue(3_600_000)),
    external: v.boolean(),
});

export const serviceSchema = v.strictObject({
    name: text,
    defaultKind: text,
    calls: v.array(text),
    connections: v.pipe(v.number(), v.integer(), v.minValue(1)),
    slots: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
});

export const configurationSchema = v.strictObject({
    kinds: v.array(kindSchema),
    services: v.array(serviceSchema),
    resendHorizonMs: ms,
    replacedServices: v.array(v.strictObject({ service: text, viewVersion: count })),
});

export const configVersionSchema = v.strictObject({
    id: text,
    number: count,
    author: text,
    configuration: configurationSchema,
});

export const viewSchema = v.strictObject({
    version: count,
    offset: v.pipe(v.number(), v.integer()),
    members: v.array(memberSchema),
    voters: v.array(memberSchema),
});

export const viewChangeSchema = v.picklist(["join", "leave", "exclude"]);

export const logRecordSchema = v.variant("type", [
    v.strictObject({
        type: v.literal("config"),
        id: text,
        base: text,
        author: text,
        configuration: configurationSchema,
    }),
    v.strictObject({
        type: v.literal("view"),
        id: text,
        service: text,
        baseVersion: count,
        change: viewChangeSchema,
        members: v.array(memberSchema),
        voters: v.array(memberSchema),
        backers: v.array(text),
    }),
    v.strictObject({
        type: v.literal("checkpoint"),
        id: text,
        asOf: v.pipe(v.number(), v.integer(), v.minValue(-1)),
        bridge: v.boolean(),
        config: v.optional(configVersionSchema),
        views: v.record(text, viewSchema),
    }),
]);

export const callContextSchema = v.strictObject({
    requestId: v.pipe(v.string(), v.regex(/^[0-9a-f]{32}$/)),
    kind: text,
    key: v.optional(v.pipe(v.string(), v.minLength(1), v.maxLength(256))),
    deadlineMs: v.number(),
    retries: v.pipe(count, v.maxValue(100)),
    depth: v.pipe(count, v.maxValue(64)),
    sender: text,
});

export const loadReportSchema = v.strictObject({
    level: v.number(),
    inFlight: v.number(),
    limit: v.number(),
});

export const memberUpdateSchema = v.strictObject({
    member: memberSchema,
    status: v.picklist(["alive", "suspect", "draining", "dead"]),
    refutation: count,
});

const probe = {
    sender: memberSchema,
    seq: count,
    summary: v.strictObject({
        configNumber: count,
        configId: v.optional(text),
        logOffset: v.pipe(v.number(), v.integer(), v.minValue(-1)),
    }),
    updates: v.pipe(v.array(memberUpdateSchema), v.maxLength(16)),
    refutation: v.optional(count),
    draining: v.optional(v.boolean()),
};

export const peerDatagramSchema = v.variant("type", [
    v.strictObject({ type: v.literal("swim.ping"), ...probe }),
    v.strictObject({ type: v.literal("swim.pingReq"), ...probe, target: memberSchema }),
    v.strictObject({ type: v.literal("swim.ack"), ...probe }),
]);

export const recordedAnswerSchema = v.strictObject({
    status: v.pipe(v.number(), v.integer()),
    contentType: v.string(),
    body: v.string(),
});

const digests = v.optional(v.pipe(v.array(v.pipe(v.string(), v.maxLength(64))), v.maxLength(32)));
const updates = v.pipe(v.array(memberUpdateSchema), v.maxLength(5_000));

export const peerRequestSchema = v.variant("type", [
    v.strictObject({ type: v.literal("swim.sync"), sender: memberSchema, updates, digests }),
    v.strictObject({ type: v.literal("control.state") }),
    v.strictObject({
        type: v.literal("view.back"),
        service: text,
        baseVersion: count,
        change: viewChangeSchema,
        members: v.array(memberSchema),
    }),
    v.strictObject({ type: v.literal("view.promise"), service: text, version: count }),
    v.strictObject({ type: v.literal("view.relay") }),
    v.strictObject({
        type: v.literal("records.handover"),
        service: text,
        viewVersion: count,
        sender: text,
        records: v.array(v.strictObject({
            key: text,
            state: v.picklist(["begun", "done", "unknown"]),
            fingerprint: text,
            answer: v.optional(recordedAnswerSchema),
            ageMs: ms,
        })),
        gaps: v.array(v.strictObject({
            version: count,
            offset: v.pipe(v.number(), v.integer()),
            ageMs: ms,
            before: v.optional(v.array(text)),
            lost: v.array(text),
        })),
        last: v.boolean(),
    }),
    v.strictObject({
        type: v.literal("crashes.report"),
        sender: text,
        crash: text,
        suspects: v.pipe(v.array(text), v.maxLength(512)),
        cleared: v.pipe(v.array(text), v.maxLength(512)),
    }),
]);

export const peerResponseSchema = v.variant("type", [
    v.strictObject({ type: v.literal("swim.sync"), updates, digests }),
    v.strictObject({
        type: v.literal("control.state"),
        offset: v.pipe(v.number(), v.integer(), v.minValue(-1)),
        config: v.optional(configVersionSchema),
        views: v.record(text, viewSchema),
    }),
    v.strictObject({ type: v.literal("view.back"), backers: v.array(text) }),
    v.strictObject({ type: v.literal("view.promise"), voter: v.optional(text) }),
    v.strictObject({
        type: v.literal("view.relay"),
        offset: v.pipe(v.number(), v.integer(), v.minValue(-1)),
        ageMs: v.optional(ms),
    }),
    v.strictObject({ type: v.literal("records.handover"), accepted: v.boolean() }),
    v.strictObject({ type: v.literal("crashes.report") }),
]);

export const logBatchSchema = v.object({
    first: count,
    next: count,
    tail: count,
    records: v.array(v.object({ offset: count, record: v.unknown() })),
});

/** What a target tells the node beside it. */
export const announcementSchema = v.strictObject({
    service: text,
    address: addressSchema,
    slots: v.optional(count),
    connections: v.optional(count),
});
