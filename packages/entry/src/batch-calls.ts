import type {ServerResponse} from 'node:http';
import {
	anyone, type BatchReader, type BatchService, type BatchSubmission,
} from '@cicadapost/batches';
import type {Access} from '@cicadapost/teams';
import type {BatchId} from '@cicadapost/types';
import {noConfigurationRetryMs, type BatchCall, type RoutedCall} from './arrival.js';
import type {CallReport} from './call-report.js';
import type {CallerProtocol} from './caller-protocol.js';
import type {ResponseWriter} from './response-writer.js';

export type BatchCallsOptions = Readonly<{
	protocol: CallerProtocol;
	batches: Pick<BatchService, 'submit' | 'results' | 'body' | 'end'>;
	writer: ResponseWriter;
	onCallReport: (report: CallReport) => void;
}>;

/** Answers submissions of batches and the calls about them. */
export class BatchCalls {
	constructor(private readonly options: BatchCallsOptions) {}

	async submit(res: ServerResponse, {call, method, body, access}: Readonly<{call: RoutedCall; method: string | undefined; body: Uint8Array; access: Access}>): Promise<void> {
		const {protocol, batches, writer} = this.options;
		if (method !== 'POST' || call.requestId === undefined) {
			writer.fail(res, 400, 'a batch is submitted with POST and an id of its own');
			return;
		}

		const id = call.requestId as string as BatchId;
		const parsedSubmission = protocol.parseSubmission({
			batch: id, host: call.host, path: call.path, body,
		});
		await parsedSubmission.caseOf({
			Left: async err => {
				this.report(id, 'batch is not valid', {reason: err.message});
				writer.fail(res, 400, err.message);
			},
			Right: async submission => {
				const outcome = await batches.submit(this.admit(submission, access));
				this.report(id, `batch ${outcome.kind}`, {step: submission.step, items: submission.items.length, minVersion: submission.minVersion});
				switch (outcome.kind) {
					case 'accepted': {
						writer.send(res, 202, '{}');
						break;
					}

					case 'taken': {
						writer.fail(res, 409, 'the id of the batch is not available; submit the batch with another one');
						break;
					}

					case 'refused': {
						writer.refuse(res, outcome.retryAfterMs, 'the store can\'t be reached from here');
						break;
					}

					case 'too-large': {
						writer.fail(res, 413, `the store can't hold the batch (${outcome.reason}); submit it as several smaller ones`);
						break;
					}

					case 'unknown': {
						writer.fail(res, 504, 'the store did not answer; submit the same batch again');
						break;
					}
				}
			},
		});
	}

	async respond(res: ServerResponse, call: BatchCall, access: Access): Promise<void> {
		const reader: BatchReader = access.kind === 'open' ? anyone : {kind: 'team', team: access.team?.name};
		const {batches, protocol, writer} = this.options;
		const disconnected = new AbortController();
		res.once('close', () => {
			disconnected.abort();
		});
		switch (call.kind) {
			case 'batch-results': {
				const outcome = await batches.results(call.batch, {
					after: call.after, waitMs: call.waitMs, signal: disconnected.signal, reader,
				});
				if (outcome.kind === 'page') {
					writer.send(res, 200, protocol.encodeResults(outcome.page));
				} else {
					this.fail(res, call.batch, outcome.kind);
				}

				break;
			}

			case 'item-body': {
				const outcome = await batches.body(call.batch, call.item, reader);
				if (outcome.kind === 'body' && !res.headersSent) {
					res.writeHead(200, {'Content-Type': 'application/octet-stream', 'Content-Length': outcome.body.length});
					res.end(outcome.body);
				} else if (outcome.kind !== 'body') {
					this.fail(res, call.batch, outcome.kind);
				}

				break;
			}

			case 'end-batch': {
				const outcome = await batches.end(call.batch, reader);
				this.report(call.batch, `end of batch: ${outcome}`, {});
				if (outcome === 'ended') {
					writer.send(res, 200, '{}');
				} else {
					this.fail(res, call.batch, outcome);
				}

				break;
			}
		}
	}

	/** Names the team of an allowed submission in the batch and in the headers of each item, which all builds send to the engines. */
	private admit(submission: BatchSubmission, access: Access): BatchSubmission {
		if (access.kind === 'open' && !access.hasFormerKey) {
			return submission;
		}

		const team = access.kind === 'open' ? undefined : access.team?.name;
		const {protocol} = this.options;
		return {
			...submission,
			...(team === undefined ? {} : {team}),
			items: submission.items.map(item => ({...item, headers: protocol.admittedHeaders({received: item.headers, team})})),
		};
	}

	private fail(res: ServerResponse, batch: BatchId, outcome: 'not-found' | 'unavailable'): void {
		this.report(batch, `batch call: ${outcome}`, {});
		if (outcome === 'not-found') {
			this.options.writer.fail(res, 404, 'no such batch or item');
		} else {
			this.options.writer.refuse(res, noConfigurationRetryMs, 'the store can\'t be reached from here');
		}
	}

	private report(requestId: CallReport['requestId'], outcome: string, inputs: CallReport['inputs']): void {
		this.options.onCallReport({requestId, outcome, inputs});
	}
}
