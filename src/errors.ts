/**
 * Errors of the layers. Each carries a list of issues with a code and a path, in the way a validation library
 * reports them, and each layer turns the errors of the one below into its own.
 */

export interface Issue {
    readonly code: string;
    /** Place of the fault: a flag, a file with its line, or the keys that lead to a field. */
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

/** A message from outside does not have the expected shape. */
export class ParseError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("ParseError", issues);
    }
}

/** A flag or environment variable is wrong. */
export class SettingsError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("SettingsError", issues);
    }
}

/** A file set is not valid. */
export class FileSetError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("FileSetError", issues);
    }
}

/** The log service could not be reached, or answered in a way that is not its protocol. */
export class LogServiceError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("LogServiceError", issues);
    }
}

/** A command of an operator could not do its work. */
export class CommandError extends IssuesError {
    constructor(issues: readonly Issue[]) {
        super("CommandError", issues);
    }
}

export function messageOf(err: unknown): string {
    if (!(err instanceof Error)) return String(err);
    // A failed connection to a host name with several addresses has an empty message.
    const { code } = err as { readonly code?: unknown; };
    return err.message === "" && typeof code === "string" ? code : err.message;
}
