import type {Payload} from '@cicadapost/types';

/** The work that a fake engine does for a request, sent as JSON in the request body. */
export type Job = Readonly<{
	/** Identifies the job; the text of each token is derived from it. */
	key: string;
	/** Number of tokens that the engine generates. Daemons do not know it in advance. */
	tokens: number;
	promptTokens: number;
	/** Jobs with the same key share the first `prefixTokens` tokens of their prompt. */
	prefixKey: string;
	prefixTokens: number;
	/** Whether the job crashes the engine that runs it. */
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

/** Returns the text of one token. It depends on the offset, so that tests detect a stream with missing, repeated or reordered chunks. */
export function tokenText(key: string, offset: number): string {
	return `${key}#${offset} `;
}
