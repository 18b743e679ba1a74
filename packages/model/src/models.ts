/** One run of a model. A negative control disables a mechanism and must find the violation that the mechanism prevents. */
export type ModelRun = Readonly<{
	model: string;
	defines: readonly string[];
	isNegativeControl: boolean;
}>;

function verification(model: string, ...defines: string[]): ModelRun {
	return {model, defines, isNegativeControl: false};
}

function negativeControl(model: string, ...defines: string[]): ModelRun {
	return {model, defines, isNegativeControl: true};
}

export const modelRuns: readonly ModelRun[] = [
	verification('lease', 'IGNORES_FENCE'),
	verification('lease', 'NO_CHECK'),
	negativeControl('lease', 'IGNORES_FENCE', 'NO_CHECK'),
	negativeControl('lease', 'IGNORES_FENCE', 'NO_FLIGHT_WAIT'),
	verification('claim'),
	negativeControl('claim', 'NO_CLAIM'),
	negativeControl('claim', 'NO_SEND_BY'),
	verification('configuration'),
	negativeControl('configuration', 'ANY_VERSION'),
	negativeControl('configuration', 'BLIND_ANSWER'),
	negativeControl('configuration', 'NO_WRITE_BACK'),
	verification('hand-over'),
	negativeControl('hand-over', 'NO_ROW_CHECK'),
	negativeControl('hand-over', 'NO_FETCH_COMPARE'),
];
