import {
	findNodeAtLocation, parseTree, printParseErrorCode, getNodeValue, type ParseError,
} from 'jsonc-parser';
import {Left, Right, type Either} from 'purify-ts';
import type * as z from 'zod';

/** A problem in a settings file and its position. Lines and columns start at 1. */
export type SettingsIssue = Readonly<{
	file: string;
	line: number;
	column: number;
	/** Path of the field, such as `members.acme.weight`. */
	field: string;
	message: string;
	remedy: string;
}>;

/** Error for an invalid settings file. The message lists each issue with its line, column and remedy. */
export class SettingsError extends Error {
	readonly issues: readonly SettingsIssue[];

	constructor(issues: readonly SettingsIssue[]) {
		super(issues.map(issue => formatIssue(issue)).join('\n'));
		this.name = 'SettingsError';
		this.issues = issues;
	}
}

export function formatIssue(issue: SettingsIssue): string {
	const field = issue.field === '' ? '' : `${issue.field}: `;
	return `${issue.file}:${issue.line}:${issue.column}: ${field}${issue.message}; ${issue.remedy}`;
}

function positionAt(text: string, offset: number): {line: number; column: number} {
	const textBefore = text.slice(0, offset);
	const lastLineBreak = textBefore.lastIndexOf('\n');
	return {line: textBefore.split('\n').length, column: offset - lastLineBreak};
}

function remedyFor(issue: z.core.$ZodIssue): string {
	switch (issue.code) {
		case 'unrecognized_keys': {
			return `remove ${issue.keys.map(key => `"${key}"`).join(', ')} or correct the spelling`;
		}

		case 'invalid_type': {
			return `give a value of type ${issue.expected}`;
		}

		case 'invalid_value': {
			return `use one of ${issue.values.join(', ')}`;
		}

		default: {
			return 'correct the value';
		}
	}
}

/** Parses JSON with comments and validates it against `schema`. */
export function parseSettings<Schema extends z.ZodType>(text: string, file: string, schema: Schema): Either<SettingsError, z.infer<Schema>> {
	const parseErrors: ParseError[] = [];
	const tree = parseTree(text, parseErrors, {allowTrailingComma: true});
	if (tree === undefined || parseErrors.length > 0) {
		const issues = parseErrors.map(err => ({
			file,
			...positionAt(text, err.offset),
			field: '',
			message: printParseErrorCode(err.error),
			remedy: 'correct the JSON syntax',
		}));
		return Left(new SettingsError(issues.length > 0
			? issues
			: [{
				file, line: 1, column: 1, field: '', message: 'the file is empty', remedy: 'start from an example in docs/operators.md',
			}]));
	}

	const result = schema.safeParse(getNodeValue(tree));
	if (result.success) {
		return Right(result.data);
	}

	return Left(new SettingsError(result.error.issues.map(issue => {
		const path = issue.path.map(part => (typeof part === 'symbol' ? String(part) : part));
		const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
		const node = findNodeAtLocation(tree, [...path, ...unknownKey]) ?? findNodeAtLocation(tree, path);
		return {
			file,
			...positionAt(text, node?.offset ?? tree.offset),
			field: [...path, ...unknownKey].join('.'),
			message: issue.message,
			remedy: remedyFor(issue),
		};
	})));
}
