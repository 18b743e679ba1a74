/** One run of a model. A control has a mechanism switched off and must find the violation that it guards against. */
export type ModelRun = Readonly<{
	model: string;
	defines: readonly string[];
	isControl: boolean;
}>;

function proof(model: string, ...defines: string[]): ModelRun {
	return {model, defines, isControl: false};
}

function control(model: string, ...defines: string[]): ModelRun {
	return {model, defines, isControl: true};
}

export const modelRuns: readonly ModelRun[] = [
	proof('lease', 'IGNORES_FENCE'),
	proof('lease', 'NO_CHECK'),
	control('lease', 'IGNORES_FENCE', 'NO_CHECK'),
	control('lease', 'IGNORES_FENCE', 'NO_FLIGHT_WAIT'),
	proof('claim'),
	control('claim', 'NO_CLAIM'),
	control('claim', 'NO_SEND_BY'),
	proof('configuration'),
	control('configuration', 'ANY_VERSION'),
	control('configuration', 'BLIND_ANSWER'),
	control('configuration', 'NO_WRITE_BACK'),
	proof('hand-over'),
	control('hand-over', 'NO_ROW_CHECK'),
	control('hand-over', 'NO_FETCH_COMPARE'),
];
