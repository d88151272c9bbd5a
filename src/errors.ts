/**
 * Error classes, one for each layer. Each error has a list of issues with a code and a path, as in validation
 * libraries. A layer converts the errors of the layer below it into its own class.
 */

export interface Issue {
    readonly code: string;
    /** Location of the issue: a flag, a file and line, or the keys that lead to a field. */
    readonly path: readonly (string | number)[];
    readonly message: string;
}

export function formatIssue(issue: Issue): string {
    return issue.path.length === 0 ? issue.message : `${issue.path.join(".")}: ${issue.message}`;
}

class IssuesError extends Error {
    readonly issues: readonly Issue[];

    constructor(name: string, issues: readonly Issue[]) {
        super(issues.map(formatIssue).join("\n"));
        this.name = name;
        this.issues = issues;
    }
}

/** Data from outside the process does not match its schema. */
export class ParseError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("ParseError", issues);
    }
}

/** A flag or environment variable is not valid. */
export class SettingsError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("SettingsError", issues);
    }
}

/** A set of configuration files is not valid. */
export class FileSetError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("FileSetError", issues);
    }
}

/** The log service is unreachable, or its response does not conform to its protocol. */
export class LogServiceError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("LogServiceError", issues);
    }
}

/** A command of an operator failed. */
export class CommandError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("CommandError", issues);
    }
}

export function messageOf(err: unknown): string {
    if (!(err instanceof Error)) return String(err);
    // The error of a failed connection to a host name with several addresses has a code but no message.
    const { code } = err as { readonly code?: unknown; };
    return err.message === "" && typeof code === "string" ? code : err.message;
}
