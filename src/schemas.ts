/** Schemas of received data: log records, messages from other nodes, call contexts and announcements. */
import * as v from "valibot";

const shortText = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const nonNegativeInteger = v.pipe(v.number(), v.integer(), v.minValue(0));
const durationMs = v.pipe(v.number(), v.minValue(0));

export const addressSchema = v.strictObject({
    host: v.pipe(v.string(), v.ip()),
    port: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(65_535)),
});

export const memberSchema = v.strictObject({
    id: shortText,
    service: shortText,
    address: addressSchema,
    dataCentre: shortText,
});

export const kindSchema = v.strictObject({
    name: shortText,
    priority: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(7)),
    worth: v.pipe(v.number(), v.minValue(0)),
    nonIdempotent: v.boolean(),
    retries: v.pipe(nonNegativeInteger, v.maxValue(100)),
    deadlineMs: v.pipe(v.number(), v.minValue(1), v.maxValue(3_600_000)),
    external: v.boolean(),
});

export const serviceSchema = v.strictObject({
    name: shortText,
    defaultKind: shortText,
    calls: v.array(shortText),
    connections: v.pipe(v.number(), v.integer(), v.minValue(1)),
    slots: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
});

export const configurationSchema = v.strictObject({
    kinds: v.array(kindSchema),
    services: v.array(serviceSchema),
    resendHorizonMs: durationMs,
    replacedServices: v.array(v.strictObject({ service: shortText, viewVersion: nonNegativeInteger })),
});

export const configVersionSchema = v.strictObject({
    id: shortText,
    number: nonNegativeInteger,
    author: shortText,
    configuration: configurationSchema,
});

export const viewSchema = v.strictObject({
    version: nonNegativeInteger,
    offset: v.pipe(v.number(), v.integer()),
    members: v.array(memberSchema),
    voters: v.array(memberSchema),
});

export const viewChangeSchema = v.picklist(["join", "leave", "exclude"]);

export const logRecordSchema = v.variant("type", [
    v.strictObject({
        type: v.literal("config"),
        id: shortText,
        base: shortText,
        author: shortText,
        configuration: configurationSchema,
    }),
    v.strictObject({
        type: v.literal("view"),
        id: shortText,
        service: shortText,
        baseVersion: nonNegativeInteger,
        change: viewChangeSchema,
        members: v.array(memberSchema),
        voters: v.array(memberSchema),
        backers: v.array(shortText),
    }),
    v.strictObject({
        type: v.literal("checkpoint"),
        id: shortText,
        asOf: v.pipe(v.number(), v.integer(), v.minValue(-1)),
        bridge: v.boolean(),
        config: v.optional(configVersionSchema),
        views: v.record(shortText, viewSchema),
    }),
]);

export const callContextSchema = v.strictObject({
    requestId: v.pipe(v.string(), v.regex(/^[0-9a-f]{32}$/)),
    kind: shortText,
    key: v.optional(v.pipe(v.string(), v.minLength(1), v.maxLength(256))),
    deadlineMs: v.number(),
    retries: v.pipe(nonNegativeInteger, v.maxValue(100)),
    depth: v.pipe(nonNegativeInteger, v.maxValue(64)),
    sender: shortText,
});

export const loadReportSchema = v.strictObject({
    level: v.number(),
    inFlight: v.number(),
    limit: v.number(),
});

export const memberUpdateSchema = v.strictObject({
    member: memberSchema,
    status: v.picklist(["alive", "suspect", "draining", "dead"]),
    refutation: nonNegativeInteger,
});

const probeFields = {
    sender: memberSchema,
    seq: nonNegativeInteger,
    summary: v.strictObject({
        configNumber: nonNegativeInteger,
        configId: v.optional(shortText),
        logOffset: v.pipe(v.number(), v.integer(), v.minValue(-1)),
    }),
    updates: v.pipe(v.array(memberUpdateSchema), v.maxLength(16)),
    refutation: v.optional(nonNegativeInteger),
    draining: v.optional(v.boolean()),
};

export const peerDatagramSchema = v.variant("type", [
    v.strictObject({ type: v.literal("swim.ping"), ...probeFields }),
    v.strictObject({ type: v.literal("swim.pingReq"), ...probeFields, target: memberSchema }),
    v.strictObject({ type: v.literal("swim.ack"), ...probeFields }),
]);

export const recordedResponseSchema = v.strictObject({
    status: v.pipe(v.number(), v.integer()),
    contentType: v.string(),
    body: v.string(),
});

const digests = v.optional(v.pipe(v.array(v.pipe(v.string(), v.maxLength(64))), v.maxLength(32)));
const updates = v.pipe(v.array(memberUpdateSchema), v.maxLength(5_000));

export const peerRequestSchema = v.variant("type", [
    v.strictObject({ type: v.literal("swim.sync"), sender: memberSchema, updates, digests }),
    v.strictObject({ type: v.literal("control.state"), configOnly: v.optional(v.boolean()) }),
    v.strictObject({
        type: v.literal("view.back"),
        service: shortText,
        baseVersion: nonNegativeInteger,
        change: viewChangeSchema,
        members: v.array(memberSchema),
    }),
    v.strictObject({ type: v.literal("view.promise"), service: shortText, version: nonNegativeInteger }),
    v.strictObject({ type: v.literal("view.relay") }),
    v.strictObject({
        type: v.literal("records.handover"),
        service: shortText,
        viewVersion: nonNegativeInteger,
        sender: shortText,
        records: v.array(v.strictObject({
            key: shortText,
            state: v.picklist(["begun", "done", "unknown"]),
            fingerprint: shortText,
            answer: v.optional(recordedResponseSchema),
            ageMs: durationMs,
        })),
        gaps: v.array(v.strictObject({
            version: nonNegativeInteger,
            offset: v.pipe(v.number(), v.integer()),
            ageMs: durationMs,
            before: v.optional(v.array(shortText)),
            lost: v.array(shortText),
        })),
        last: v.boolean(),
    }),
    v.strictObject({
        type: v.literal("crashes.report"),
        sender: shortText,
        crash: shortText,
        suspects: v.pipe(v.array(shortText), v.maxLength(512)),
        cleared: v.pipe(v.array(shortText), v.maxLength(512)),
    }),
]);

export const peerResponseSchema = v.variant("type", [
    v.strictObject({ type: v.literal("swim.sync"), updates, digests }),
    v.strictObject({
        type: v.literal("control.state"),
        offset: v.pipe(v.number(), v.integer(), v.minValue(-1)),
        config: v.optional(configVersionSchema),
        views: v.record(shortText, viewSchema),
        isReplayed: v.optional(v.boolean()),
    }),
    v.strictObject({ type: v.literal("view.back"), backers: v.array(shortText) }),
    v.strictObject({ type: v.literal("view.promise"), voter: v.optional(shortText) }),
    v.strictObject({
        type: v.literal("view.relay"),
        offset: v.pipe(v.number(), v.integer(), v.minValue(-1)),
        ageMs: v.optional(durationMs),
    }),
    v.strictObject({ type: v.literal("records.handover"), accepted: v.boolean() }),
    v.strictObject({ type: v.literal("crashes.report") }),
]);

export const logBatchSchema = v.object({
    first: nonNegativeInteger,
    next: nonNegativeInteger,
    tail: nonNegativeInteger,
    records: v.array(v.object({ offset: nonNegativeInteger, record: v.unknown() })),
});

/** Body of `POST /announce`, which a target sends to its node. */
export const announcementSchema = v.strictObject({
    service: shortText,
    address: addressSchema,
    slots: v.optional(nonNegativeInteger),
    connections: v.optional(nonNegativeInteger),
});
