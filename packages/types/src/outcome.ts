/** What a decision function returns: the new state and the actions that the edge has to carry out, in order. */
export type DecisionResult<State, Action> = Readonly<{
	state: State;
	actions: readonly Action[];
}>;
