import {type IncomingMessage, type ServerResponse} from 'node:http';
import {ProblemError} from '@cicadapost/errors';
import {
	checkDocument, documentSchema, formatReferenceIssue, parseSettings, type ConfigurationDocument,
} from '@cicadapost/settings';
import type {App} from '@tinyhttp/app';
import {sendProblem} from './response-writer.js';
import {type KeyRing, requireRole} from './authenticate.js';
import {readBody} from './read-body.js';
import {sendJson} from './send-json.js';

/** Result of a configuration change by an operator. */
export type ApplyResult =
	| Readonly<{kind: 'accepted'; version: number}>
	| Readonly<{kind: 'refused'; problem: ProblemError; currentVersion: number; currentDocument: string}>;

export type ConfigurationVersion = Readonly<{version: number; document: string}>;

export type ConfigurationHistoryEntry = Readonly<{version: number; acceptedAt: string; daemon: string}>;

/** Operations that the admin routes delegate to the daemon. */
export type AdminHandlers = Readonly<{
	applyConfiguration: (expectedVersion: number, document: string) => Promise<ApplyResult>;
	currentConfiguration: () => ConfigurationVersion;
	/** Resolves with the accepted versions, oldest first, or undefined if the store is unavailable. */
	configurationHistory: () => Promise<readonly ConfigurationHistoryEntry[] | undefined>;
	status: () => unknown;
	/** Trace entries of a request, or undefined if this daemon has none. */
	trace: (requestId: string) => unknown;
}>;

export type AdminOptions = Readonly<{
	keys: KeyRing;
	handlers: AdminHandlers;
	bodyBytes: number;
}>;

const storeRetryDelayMs = 5000;

/** Adds the admin routes, which require an operator key, to `app`. */
export function registerAdminRoutes(app: App, options: AdminOptions): void {
	const {keys, handlers} = options;
	const requireOperator = (req: IncomingMessage): void => {
		requireRole(keys.authenticate(req.headers.authorization), 'operator');
	};

	app.get('/admin/configuration', (req, res) => {
		requireOperator(req);
		const {version, document} = handlers.currentConfiguration();
		sendJson(res, 200, {version, document: document === '' ? null : (JSON.parse(document) as unknown)});
	});
	app.put('/admin/configuration', async (req, res) => {
		requireOperator(req);
		const expectedVersion = parseIfMatch(req);
		const document = parseDocument(await readBody(req, options.bodyBytes));
		sendApplyResult(res, await handlers.applyConfiguration(expectedVersion, JSON.stringify(document)));
	});
	app.get('/admin/configuration/history', async (req, res) => {
		requireOperator(req);
		const history = await handlers.configurationHistory();
		if (history === undefined) {
			throw new ProblemError({
				kind: 'store-unavailable', detail: 'the table service does not answer', remedy: 'wait for Retry-After', retryAfterMs: storeRetryDelayMs,
			});
		}

		sendJson(res, 200, {history});
	});
	app.get('/admin/status', (req, res) => {
		requireOperator(req);
		sendJson(res, 200, handlers.status());
	});
	app.get('/admin/trace/:id', (req, res) => {
		requireOperator(req);
		const requestId = req.params.id ?? '';
		const entries = handlers.trace(requestId);
		if (entries === undefined) {
			throw new ProblemError({
				kind: 'not-found', detail: `this daemon does not know the request "${requestId}"`, remedy: 'ask the daemon that the id starts with; only the latest requests are kept',
			});
		}

		sendJson(res, 200, {requestId, entries});
	});
	app.post('/admin/upstreams/:id/drain', async (req, res) => {
		requireOperator(req);
		const {version, document} = handlers.currentConfiguration();
		const updatedDocument = markDraining(document, req.params.id ?? '');
		sendApplyResult(res, await handlers.applyConfiguration(version, JSON.stringify(updatedDocument)));
	});
}

function parseIfMatch(req: IncomingMessage): number {
	const expectedVersion = Number(req.headers['if-match']);
	if (!Number.isInteger(expectedVersion) || expectedVersion < 0) {
		throw new ProblemError({
			kind: 'invalid-request', field: 'If-Match', detail: 'If-Match must be the version that the change is based on', remedy: 'read it with GET /admin/configuration; 0 for the first',
		});
	}

	return expectedVersion;
}

function parseDocument(body: string): ConfigurationDocument {
	return parseSettings(body, 'body', documentSchema).caseOf<ConfigurationDocument>({
		Left(err) {
			throw new ProblemError({
				kind: 'invalid-request', field: err.issues[0]?.field ?? 'body', detail: err.message, remedy: 'correct the document; "cicadapost config check" shows each fault',
			});
		},
		Right(document) {
			const fault = checkDocument(document)[0];
			if (fault !== undefined) {
				throw new ProblemError({
					kind: 'invalid-request', field: fault.field, detail: formatReferenceIssue(fault), remedy: fault.remedy,
				});
			}

			return document;
		},
	});
}

/** Marks one upstream as draining in the document. A drain is a configuration change, so it applies on every daemon and never reverts by itself. */
function markDraining(document: string, upstream: string): ConfigurationDocument {
	const current = document === '' ? undefined : documentSchema.parse(JSON.parse(document));
	const overlay = Object.values(current?.overlays ?? {}).find(candidate => upstream in candidate.upstreams);
	if (current === undefined || overlay === undefined) {
		throw new ProblemError({
			kind: 'not-found', detail: `the upstream "${upstream}" does not exist`, remedy: '"cicadapost upstreams list" names all upstreams',
		});
	}

	overlay.upstreams[upstream]!.draining = true;
	return current;
}

function sendApplyResult(res: ServerResponse, result: ApplyResult): void {
	if (result.kind === 'accepted') {
		sendJson(res, 200, {version: result.version});
		return;
	}

	// The CLI uses the current document to show what changed. Including it exposes nothing new, since operators may read it anyway.
	const {problem, currentVersion, currentDocument} = result;
	sendProblem(res, problem, currentDocument === '' ? {} : {currentVersion, currentDocument: JSON.parse(currentDocument) as unknown});
}
