import type {Payload} from '@cicadapost/types';

/** What a fake engine does for a request. The body of a fake request holds it as JSON. */
export type Job = Readonly<{
	/** Names the request; the text of each token is derived from it. */
	key: string;
	/** Tokens that the engine will generate, which no daemon knows beforehand. */
	tokens: number;
	promptTokens: number;
	/** Requests with the same key share the first `prefixTokens` of their prompt. */
	prefixKey: string;
	prefixTokens: number;
	/** Ends the engine that runs it. */
	isPoison: boolean;
}>;

export function createJob(job: Partial<Job> & Readonly<{key: string}>): Job {
	return {
		tokens: 16, promptTokens: 32, prefixKey: '', prefixTokens: 0, isPoison: false, ...job,
	};
}

export function jobPayload(job: Job): Payload {
	return {
		method: 'POST', path: '/v1/completions', contentType: 'application/json', body: JSON.stringify(job),
	};
}

export function parseJob(payload: Payload): Job {
	return JSON.parse(payload.body) as Job;
}

/** The text of one token; a stream that was put together from the wrong pieces doesn't match it. */
export function tokenText(key: string, offset: number): string {
	return `${key}#${offset} `;
}
