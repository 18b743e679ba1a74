import {type IncomingMessage, type ServerResponse} from 'node:http';
import {ProblemError} from '@cicadapost/errors';
import {
	checkDocument, documentSchema, formatReferenceFault, parseSettings, type ConfigurationDocument,
} from '@cicadapost/settings';
import type {App} from '@tinyhttp/app';
import {sendProblem} from './response-writer.js';
import {type KeyRing, requireRole} from './authenticate.js';
import {readBody} from './read-body.js';
import {sendJson} from './send-json.js';

/** Answer to an operator's change of the configuration. */
export type ApplyResult =
	| Readonly<{kind: 'accepted'; version: number}>
	| Readonly<{kind: 'refused'; problem: ProblemError; currentVersion: number; currentDocument: string}>;

export type ConfigurationVersion = Readonly<{version: number; document: string}>;

export type ConfigurationHistoryEntry = Readonly<{version: number; acceptedAt: string; daemon: string}>;

/** What operators ask the rest of the daemon. */
export type AdminHandlers = Readonly<{
	applyConfiguration: (expectedVersion: number, document: string) => Promise<ApplyResult>;
	currentConfiguration: () => ConfigurationVersion;
	/** Accepted versions, oldest first; undefined while the store can't be reached. */
	configurationHistory: () => Promise<readonly ConfigurationHistoryEntry[] | undefined>;
	status: () => unknown;
	/** What was decided about a request, or undefined if this daemon does not know it. */
	trace: (requestId: string) => unknown;
}>;

export type AdminOptions = Readonly<{
	keys: KeyRing;
	handlers: AdminHandlers;
	bodyBytes: number;
}>;

const storeRetryDelayMs = 5000;

/** Adds the operators' interface to `app`. */
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
				kind: 'invalid-request', field: err.faults[0]?.field ?? 'body', detail: err.message, remedy: 'correct the document; "cicadapost config check" shows each fault',
			});
		},
		Right(document) {
			const fault = checkDocument(document)[0];
			if (fault !== undefined) {
				throw new ProblemError({
					kind: 'invalid-request', field: fault.field, detail: formatReferenceFault(fault), remedy: fault.remedy,
				});
			}

			return document;
		},
	});
}

/** The document with one upstream marked as draining. A drain is a configuration change, so it holds everywhere and never reverts. */
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

	// The document lets the command line show what changed; an operator may read it anyway.
	const {problem, currentVersion, currentDocument} = result;
	sendProblem(res, problem, currentDocument === '' ? {} : {currentVersion, currentDocument: JSON.parse(currentDocument) as unknown});
}
